package port

import (
	"bytes"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/malformed"
)

// Guards against clients that take a broken response for the outcome of a request.
var _ = Describe("the transport of clients of other processes", func() {
	newClient := func(transport *http.Transport) *http.Client {
		client := &http.Client{Transport: NewTransport(transport), Timeout: 10 * time.Second}
		DeferCleanup(client.CloseIdleConnections)
		return client
	}
	post := func(client *http.Client, address string, bytesSent int) error {
		response, err := client.Post("http://"+address, "", bytes.NewReader(make([]byte, bytesSent)))
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.ReadAll(response.Body)
		return err
	}

	It("refuses malformed responses and does not use their connections again", func() {
		malformed.Each("", "body", func(address string) error { return post(newClient(new(http.Transport)), address, 4) })
		for what, message := range malformed.Variants("", "") { // net/http keeps connections of responses without a body
			address, connections := malformed.Serve(message)
			client := newClient(new(http.Transport))
			for range 2 {
				Expect(post(client, address, 4)).NotTo(Succeed(), what)
			}
			Expect(connections).To(HaveLen(2), what)
		}
	})

	It("refuses a response without a length whose connection is reset during the upload", func() {
		const plays = 40
		address := malformed.ServeReset("HTTP/1.1 200 OK\r\n\r\n{}")
		for range plays {
			Expect(post(newClient(&http.Transport{DisableKeepAlives: true}), address, 8<<20)).NotTo(Succeed())
		}
	})

	It("keeps the connections of valid responses", func() {
		address, connections := malformed.Serve(malformed.Response("200 OK", "", "body"))
		client := newClient(new(http.Transport))
		for range 3 {
			Expect(post(client, address, 4)).To(Succeed())
		}
		Expect(connections).To(HaveLen(1))
	})
})

package upstreamlocal

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

const validAnnouncement = `{"service":"shop","version":"v1","address":"127.0.0.1:9000","slots":6,"state":"ready","process":"p1"}`

// An invalid announcement must not become an endpoint, since other nodes would send
// calls to it.
var _ = DescribeTable("an invalid announcement",
	func(old, replacement, mention string) {
		content := strings.Replace(validAnnouncement, old, replacement, 1)
		Expect(content).NotTo(Equal(validAnnouncement))
		_, err := parse(strings.NewReader(content))
		Expect(result.Of(err)).To(Equal(result.BadRequest))
		Expect(err.Error()).To(ContainSubstring(mention))
	},
	Entry("not JSON", `{"service"`, `"service"`, "JSON"),
	Entry("unknown field", `"slots"`, `"slot":1,"slots"`, "slot"),
	Entry("no service", `"shop"`, `""`, "service"),
	Entry("name with a slash", `"shop"`, `"a/b"`, "service"),
	Entry("name with a line break", `"v1"`, `"v\n1"`, "version"),
	Entry("no process", `"p1"`, `""`, "process"),
	Entry("address of another host", "127.0.0.1", "10.0.0.1", "loopback"),
	Entry("host name", "127.0.0.1", "localhost", "loopback"),
	Entry("port 0", ":9000", ":0", "loopback"),
	Entry("no slots", `:6`, `:0`, "slots"),
	Entry("too many slots", `:6`, `:4097`, "slots"),
	Entry("unknown state", `"ready"`, `"up"`, "state"),
)

var _ = Describe("the plug-in", func() {
	var (
		app   *fx.App
		url   string
		cell  *port.LocalCell
		drain *port.DrainRing
	)
	BeforeEach(func() {
		var address *port.AnnounceAddressCell
		settings, err := kernel.Parse("test", []byte("[upstream.local]\nlisten = \"127.0.0.1:0\"\ngone_after = \"300ms\"\n"))
		Expect(err).NotTo(HaveOccurred())
		app = fx.New(
			kernel.Options(settings, kernel.NewLogger(GinkgoWriter)),
			kernel.ProvideRing[port.Local]("members.local", 4, kernel.ReplaceOldest),
			fx.Populate(&address, &cell, &drain),
		)
		Expect(app.Start(context.Background())).To(Succeed())
		url = "http://" + address.Load().String() + "/announce"
		DeferCleanup(func() { Expect(app.Stop(context.Background())).To(Succeed()) })
	})
	post := func(content string) *http.Response {
		r, err := http.Post(url, "application/json", strings.NewReader(content))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Body.Close)
		return r
	}
	state := func() mesh.EndpointState {
		if l := cell.Load(); l != nil {
			return l.Endpoint.State
		}
		return mesh.EndpointNone
	}

	It("publishes the upstream and detects missing announcements", func() {
		Expect(post(validAnnouncement).StatusCode).To(Equal(http.StatusNoContent))
		Eventually(state).Should(Equal(mesh.EndpointReady))
		Expect(cell.Load().Address.String()).To(Equal("127.0.0.1:9000"))
		Eventually(state, "3s").Should(Equal(mesh.EndpointGone))
	})

	It("refuses with a result code", func() {
		r := post(strings.Replace(validAnnouncement, ":6", ":0", 1))
		var e struct {
			Code    int
			Details map[string]string
		}
		Expect(json.NewDecoder(r.Body).Decode(&e)).To(Succeed())
		Expect(e.Code).To(Equal(result.BadRequest.Number))
		Expect(e.Details).To(HaveKeyWithValue("field", "slots"))
		Expect(post(strings.Repeat(" ", maxBodyBytes+1) + validAnnouncement).StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("drains the upstream for an operator, against its own announcements", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := kernel.Do(ctx, drain, port.Drain{By: "op"})
		Expect(result.Of(err)).To(Equal(result.NoEndpoint))
		post(validAnnouncement)
		Eventually(state).Should(Equal(mesh.EndpointReady))
		_, err = kernel.Do(ctx, drain, port.Drain{By: "op"})
		Expect(err).NotTo(HaveOccurred())
		post(validAnnouncement)
		Expect(state()).To(Equal(mesh.EndpointDraining))
	})
})

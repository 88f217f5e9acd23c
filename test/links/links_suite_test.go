// Package links tests link.overlay and membership.view together: nodes in one
// process, joined by TLS connections on loopback through relays that inject faults.
package links

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestLinks(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "links")
}

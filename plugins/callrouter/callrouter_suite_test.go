package callrouter

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestCallRouter(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	gomega.SetDefaultEventuallyTimeout(10 * time.Second)
	ginkgo.RunSpecs(t, "call.router")
}

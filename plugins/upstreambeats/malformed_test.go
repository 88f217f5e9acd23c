package upstreambeats

import (
	"context"
	"errors"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/test/malformed"
)

// Guards against a broken answer to a health check that counts as word of the server.
var _ = Describe("a malformed response to a health check", func() {
	It("says nothing about the server", func() {
		malformed.Each("Instance: i\r\nCold: 250\r\n", "", func(address string) error {
			in := coldWatchIn{
				Headers: port.CallHeaders{Instance: "Instance", ColdMS: "Cold"}, Local: new(port.LocalCell), Snapshot: new(port.SnapshotCell),
				Reports: kernel.NewRing[healthReport]("health", 1, kernel.ReplaceOldest),
			}
			in.Local.Store(&port.Local{
				Address: netip.MustParseAddrPort(address), Endpoint: mesh.Endpoint{Service: "s", State: mesh.EndpointReady, Instance: "i"},
			})
			in.Snapshot.Store(&mesh.Snapshot{Services: map[mesh.ServiceID]mesh.Service{"s": {ColdRate: 1, HealthPath: "/"}}})
			(&coldWatch{coldWatchIn: in, client: newHealthClient()}).check(context.Background())
			select {
			case <-in.Reports.C():
				return nil
			default:
				return errors.New("no report")
			}
		})
	})
})

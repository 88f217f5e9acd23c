package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"teaselring/mesh"
)

func TestConfig(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "decision/config")
}

// start is the start time of every test.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

func service(id string, slots int) mesh.Record {
	return mesh.Record{
		RecordKey: mesh.RecordKey{Kind: mesh.KindService, ID: id},
		Schema:    1,
		Service:   &mesh.ServiceV1{Slots: slots, Queue: 4},
	}
}

func route(id, prefix, service string, methods ...string) mesh.Record {
	return mesh.Record{
		RecordKey: mesh.RecordKey{Kind: mesh.KindRoute, ID: id},
		Schema:    2,
		RouteV2: &mesh.RouteV2{
			PathPrefix: prefix,
			Methods:    methods,
			Service:    mesh.ServiceID(service),
			Class:      mesh.ClassRead,
			Timeout:    time.Second,
		},
	}
}

func build(v mesh.Version, records ...mesh.Record) *mesh.Snapshot {
	s, err := Build(v, records)
	gomega.ExpectWithOffset(1, err).NotTo(gomega.HaveOccurred())
	return s
}

// numbered returns version v, which differs from the versions before and after it
// in one record.
func numbered(v mesh.Version) *mesh.Snapshot {
	return build(v, service("shop", int(v)), service("billing", 6))
}

func contentOf(s *mesh.Snapshot) []byte {
	encoded, err := Encode(s.Records)
	gomega.ExpectWithOffset(1, err).NotTo(gomega.HaveOccurred())
	return encoded
}

func headOf(s *mesh.Snapshot) Head { return Head{Version: s.Version, Digest: s.Digest} }

func many(count int) []mesh.Record {
	records := make([]mesh.Record, count)
	for i := range records {
		records[i] = service(fmt.Sprintf("service-%05d", i), 1+i%4096)
		records[i].Service.Department = strings.Repeat("d", maxDepartment)
	}
	return records
}

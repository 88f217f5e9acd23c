package configcheck

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

func TestConfigCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configcheck")
}

// sound returns a configuration without findings.
func sound() *mesh.Snapshot {
	s := &mesh.Snapshot{
		Version:  1,
		Services: map[mesh.ServiceID]mesh.Service{"stock": {ID: "stock", Slots: 6}},
		Limits:   mesh.EdgeLimits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []mesh.Route{{
			ID: "read", Host: "shop.example", PathPrefix: "/read/", Service: "stock", Class: mesh.ClassRead,
			Timeout: time.Second, Target: 500 * time.Millisecond, MaxAttempts: 2,
		}},
	}
	s.AddAccount(mesh.Account{Name: "ana", Rate: 10, Burst: 10}, []string{"secret-key"})
	return s
}

var small = Mesh{Upstreams: map[mesh.ServiceID]Capacity{"stock": {Upstreams: 2, Slots: 12}}, Memory: 184 << 20}

func check(change func(s *mesh.Snapshot)) []Finding {
	s := sound()
	change(s)
	ExpectWithOffset(1, s.IndexByHost()).To(Succeed())
	return Check(s, small)
}

// An entry that can't do what its author expects was noticed only by the callers it
// turned away.
var _ = DescribeTable("a configuration is reported with the entry and the field",
	func(entry, field string, change func(s *mesh.Snapshot)) {
		Expect(check(change)).To(ContainElement(And(HaveField("Entry", entry), HaveField("Field", field))))
	},
	Entry("with a host that is a pattern", `route "read"`, "host", func(s *mesh.Snapshot) { s.Routes[0].Host = "*.example" }),
	Entry("with a host that has a port", `route "read"`, "host", func(s *mesh.Snapshot) { s.Routes[0].Host = "shop.example:80" }),
	Entry("with a prefix that has a query", `route "read"`, "prefix", func(s *mesh.Snapshot) { s.Routes[0].PathPrefix = "/read?x=/" }),
	Entry("with a prefix that has an escape", `route "read"`, "prefix", func(s *mesh.Snapshot) { s.Routes[0].PathPrefix = "/a%20b/" }),
	Entry("with weights of zero", `route "read"`, "split", func(s *mesh.Snapshot) { s.Routes[0].Split = []mesh.ServiceShare{{Service: "stock"}} }),
	Entry("with a service twice in a split", `route "read"`, "split", func(s *mesh.Snapshot) {
		s.Routes[0].Split = []mesh.ServiceShare{{Service: "stock", Weight: 1}, {Service: "stock", Weight: 2}}
	}),
	Entry("with a target above the timeout", `route "read"`, "latency target", func(s *mesh.Snapshot) { s.Routes[0].Target = 2 * time.Second }),
	Entry("with more attempts than upstreams", `route "read"`, "attempts", func(s *mesh.Snapshot) { s.Routes[0].MaxAttempts = 3 }),
	Entry("with a priority below the last level", `route "read"`, "priority", func(s *mesh.Snapshot) { s.Routes[0].Priority, s.Routes[0].HasPriority = 9, true }),
	Entry("with a list of accounts that is empty", "accounts", "", func(s *mesh.Snapshot) {
		s.Accounts = nil
		s.RequireKeys()
	}),
	Entry("with accounts that have no key", "accounts", "", func(s *mesh.Snapshot) {
		s.Accounts = nil
		s.AddAccount(mesh.Account{Name: "bob"}, nil)
	}),
	Entry("with a route that allows no region", `route "read"`, "regions", func(s *mesh.Snapshot) { s.Routes[0].Regions = []mesh.Region{} }),
	Entry("with an account that allows no region", `account "bob"`, "regions", func(s *mesh.Snapshot) {
		s.AddAccount(mesh.Account{Name: "bob", Regions: []mesh.Region{}}, []string{"k"})
	}),
	Entry("with a service that no route names", `service "pay"`, "", func(s *mesh.Snapshot) { s.Services["pay"] = mesh.Service{ID: "pay"} }),
	Entry("with a service without upstreams", `service "pay"`, "", func(s *mesh.Snapshot) {
		s.Services["pay"] = mesh.Service{ID: "pay"}
		s.Routes[0].Service = "pay"
	}),
	Entry("with a cold rate without a duration", `service "stock"`, "cold rate", func(s *mesh.Snapshot) { s.Services["stock"] = mesh.Service{ID: "stock", ColdRate: 13} }),
	Entry("with an account without a key", `account "bob"`, "keys", func(s *mesh.Snapshot) { s.AddAccount(mesh.Account{Name: "bob", Rate: 1, Burst: 1}, nil) }),
	Entry("with an account whose limit is above the capacity", `account "bob"`, "rate", func(s *mesh.Snapshot) { s.AddAccount(mesh.Account{Name: "bob", Rate: 1000, Burst: 1}, []string{"k"}) }),
	Entry("with a burst below one request", `account "bob"`, "burst", func(s *mesh.Snapshot) { s.AddAccount(mesh.Account{Name: "bob", Rate: 1}, []string{"k"}) }),
	Entry("with bodies above the memory", "limits", "body bytes", func(s *mesh.Snapshot) { s.Limits.BodyBytes = 1 << 30 }),
	Entry("with heads below an ordinary request", "limits", "header bytes", func(s *mesh.Snapshot) { s.Limits.HeaderBytes = 100 }),
	Entry("with a part that was not understood", "configuration", "", func(s *mesh.Snapshot) { s.Warnings = []string{"x"} }),
)

var _ = Describe("a configuration", func() {
	It("that is sound has no findings", func() {
		Expect(check(func(*mesh.Snapshot) {})).To(BeEmpty())
	})

	It("is compared with another by entry and field, and never shows a key", func() {
		next := sound()
		next.Routes[0].Timeout = 2 * time.Second
		next.Routes = append(next.Routes, mesh.Route{ID: "new", Service: "stock"})
		delete(next.Accounts, "ana")
		next.AddAccount(mesh.Account{Name: "bob"}, []string{"other-key"})
		changes := Diff(sound(), next)
		Expect(changes).To(Equal([]Change{
			{Entry: `account "ana"`},
			{Entry: `account "bob"`, Added: true},
			{Entry: `route "new"`, Added: true},
			{Entry: `route "read"`, Field: "timeout", From: "1s", To: "2s"},
		}))
	})

	// An empty list allows no region, a missing one all; both were shown as [].
	It("shows that a route or account lost its last region, or the bound to regions", func() {
		bound := func(regions []mesh.Region) *mesh.Snapshot {
			s := sound()
			s.Routes[0].Regions, s.Accounts["ana"].Regions = regions, regions
			return s
		}
		Expect(Diff(bound([]mesh.Region{}), bound(nil))).To(Equal([]Change{
			{Entry: `account "ana"`, Field: "regions", From: "none", To: "all"},
			{Entry: `route "read"`, Field: "regions", From: "none", To: "all"},
		}))
		Expect(Diff(bound([]mesh.Region{"n", "s"}), bound([]mesh.Region{}))).To(ContainElement(
			Change{Entry: `route "read"`, Field: "regions", From: "n, s", To: "none"}))
	})

	// The list of accounts, empty or not, decides whether requests need a key; its removal
	// opens the mesh, and nothing showed that.
	It("shows that requests need a key, or no longer do", func() {
		open := sound()
		open.Accounts = nil
		closed := sound()
		closed.Accounts = nil
		closed.RequireKeys()
		Expect(Diff(open, closed)).To(Equal([]Change{{Entry: "accounts", Field: "keys required", From: "false", To: "true"}}))
		Expect(Diff(closed, open)).To(Equal([]Change{{Entry: "accounts", Field: "keys required", From: "true", To: "false"}}))
	})

	It("shows that the keys of an account changed", func() {
		next := sound()
		next.AddAccount(mesh.Account{Name: "ana", Rate: 10, Burst: 10}, []string{"second-key"})
		changes := Diff(sound(), next)
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Field).To(Equal("keys"))
		Expect(changes[0].To).To(HavePrefix("2 "))
		Expect(changes[0].From + changes[0].To).NotTo(ContainSubstring("key"))
	})
})

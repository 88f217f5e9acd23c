package config

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

const example = `
[[record]]
kind = "service"
id = "filings"
schema = 1
slots = 12
queue = 0
department = "Wells"

[[record]]
kind = "route"
id = "filing"
schema = 1
department = "Wells"
path = "/filings"
upstream = "filings"
timeout_ms = 2500
kind_of_call = "filing"

[[record]]
kind = "route"
id = "logs"
schema = 2
path_prefix = "/logs"
methods = ["PUT", "POST"]
service = "filings"
class = "upload"
timeout = "15m"

[[record]]
kind = "caller"
id = "shop"
schema = 1
in_flight = 40
`

var _ = Describe("Parse", func() {
	It("reads both schemas in one file and sets defaults", func() {
		records, err := Parse([]byte(example))
		Expect(err).NotTo(HaveOccurred())
		s := build(1, records...)
		Expect(s.Routes).To(HaveLen(2))
		Expect(s.Route("POST", "/filings/7").Class).To(Equal(mesh.ClassOnce))
		Expect(s.Route("GET", "/logs")).To(BeNil())
		Expect(s.Callers["shop"].RetryPercent).To(Equal(10))
	})

	It("reads back the output of Print, so that an operator can edit the records of a node", func() {
		records, err := Parse([]byte(example))
		Expect(err).NotTo(HaveOccurred())
		text, err := Print(records)
		Expect(err).NotTo(HaveOccurred())
		again, err := Parse(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(records))
	})

	const aService = "[[record]]\nkind = \"service\"\nid = \"s\"\nschema = 1\n"
	const aRoute = "[[record]]\nkind = \"route\"\nid = \"r\"\nschema = 2\nservice = \"s\"\n"
	const oldRoute = "[[record]]\nkind = \"route\"\nid = \"r\"\nschema = 1\ndepartment = \"d\"\nupstream = \"s\"\npath = \"/\"\n"

	// Guards against invalid input that is accepted, or rejected without the record
	// and field.
	DescribeTable("rejects invalid input with the record and field",
		func(text string, code *result.Code, record, field string) {
			_, err := Parse([]byte(text))
			Expect(result.Of(err)).To(BeIdenticalTo(code))
			details := result.AsError(err).Details
			Expect(details).To(HaveKeyWithValue("record", record))
			Expect(details).To(HaveKeyWithValue("field", field))
			Expect(details["reason"]).NotTo(BeEmpty())
		},
		Entry("unknown kind", "[[record]]\nkind = \"cluster\"\nid = \"c\"\nschema = 1", result.UnknownKind, `cluster "c"`, "kind"),
		Entry("unknown schema", "[[record]]\nkind = \"route\"\nid = \"r\"\nschema = 3", result.UnknownSchema, `route "r"`, "schema"),
		Entry("missing schema", "[[record]]\nkind = \"route\"\nid = \"r\"", result.InvalidRecord, `route "r"`, "schema"),
		Entry("missing id", "[[record]]\nkind = \"route\"\nschema = 2", result.InvalidRecord, `route "#1"`, "id"),
		Entry("bad id", "[[record]]\nkind = \"caller\"\nid = \"a/b\"\nschema = 1\nin_flight = 1", result.InvalidRecord, `caller "a/b"`, "id"),
		Entry("unknown field", aService+"slots = 1\nqueue = 1\nweight = 2", result.InvalidRecord, `service "s"`, "weight"),
		Entry("field of the other schema", oldRoute+"timeout_ms = 100\nkind_of_call = \"file\"\nclass = \"read\"", result.InvalidRecord, `route "r"`, "class"),
		Entry("missing field", aService+"slots = 1", result.InvalidRecord, `service "s"`, "queue"),
		Entry("wrong type", aService+"slots = \"6\"\nqueue = 0", result.InvalidRecord, `service "s"`, "slots"),
		Entry("too few slots", aService+"slots = 0\nqueue = 0", result.InvalidRecord, `service "s"`, "slots"),
		Entry("too many slots", aService+"slots = 4097\nqueue = 0", result.InvalidRecord, `service "s"`, "slots"),
		Entry("slots that wrap in 32 bits", aService+"slots = 4294967297\nqueue = 0", result.InvalidRecord, `service "s"`, "slots"),
		Entry("queue out of range", aService+"slots = 1\nqueue = 1025", result.InvalidRecord, `service "s"`, "queue"),
		Entry("timeout without unit", aRoute+"path_prefix = \"/\"\nclass = \"read\"\ntimeout = \"5\"", result.InvalidRecord, `route "r"`, "timeout"),
		Entry("timeout too short", aRoute+"path_prefix = \"/\"\nclass = \"read\"\ntimeout = \"9ms\"", result.InvalidRecord, `route "r"`, "timeout"),
		Entry("timeout too long", aRoute+"path_prefix = \"/\"\nclass = \"read\"\ntimeout = \"61m\"", result.InvalidRecord, `route "r"`, "timeout"),
		Entry("class", aRoute+"path_prefix = \"/\"\nclass = \"write\"\ntimeout = \"1s\"", result.InvalidRecord, `route "r"`, "class"),
		Entry("relative prefix", aRoute+"path_prefix = \"logs\"\nclass = \"read\"\ntimeout = \"1s\"", result.InvalidRecord, `route "r"`, "path_prefix"),
		Entry("repeated method", aRoute+"path_prefix = \"/\"\nclass = \"read\"\ntimeout = \"1s\"\nmethods = [\"GET\", \"GET\"]", result.InvalidRecord, `route "r"`, "methods"),
		Entry("old timeout", oldRoute+"timeout_ms = 9\nkind_of_call = \"file\"", result.InvalidRecord, `route "r"`, "timeout_ms"),
		Entry("old kind of call", oldRoute+"timeout_ms = 10\nkind_of_call = \"post\"", result.InvalidRecord, `route "r"`, "kind_of_call"),
		Entry("caller limit", "[[record]]\nkind = \"caller\"\nid = \"c\"\nschema = 1\nin_flight = 10001", result.InvalidRecord, `caller "c"`, "in_flight"),
		Entry("retry budget", "[[record]]\nkind = \"caller\"\nid = \"c\"\nschema = 1\nin_flight = 1\nretry_percent = 11", result.InvalidRecord, `caller "c"`, "retry_percent"),
		Entry("duplicate id", aService+"slots = 1\nqueue = 0\n"+aService+"slots = 2\nqueue = 0", result.DuplicateID, `service "s"`, "id"),
	)

	It("reports the line of a key outside a record, which would otherwise be ignored silently", func() {
		_, err := Parse([]byte("\n[[records]]\nkind = \"service\"\n"))
		Expect(result.Of(err)).To(BeIdenticalTo(result.InvalidRecord))
		Expect(result.AsError(err).Details).To(HaveKeyWithValue("line", "2"))
	})
})

var _ = Describe("Convert", func() {
	v1 := mesh.Record{
		RecordKey: mesh.RecordKey{Kind: mesh.KindRoute, ID: "r"},
		Schema:    1,
		RouteV1:   &mesh.RouteV1{Department: "Wells", Path: "/f", Upstream: "filings", TimeoutMS: 2500, KindOfCall: "filing"},
	}

	It("converts schema 1 to schema 2 and back without loss", func() {
		v2, err := Convert(v1, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(*v2.RouteV2).To(Equal(mesh.RouteV2{
			PathPrefix: "/f", Service: "filings", Class: mesh.ClassOnce, Timeout: 2500 * time.Millisecond, Department: "Wells",
		}))
		Expect(Convert(v2, 1)).To(Equal(v1))
	})

	// Guards against a conversion that drops values which schema 1 can't represent.
	DescribeTable("rejects a conversion that would lose values", func(change func(*mesh.RouteV2), field string) {
		v2, err := Convert(v1, 2)
		Expect(err).NotTo(HaveOccurred())
		change(v2.RouteV2)
		_, err = Convert(v2, 1)
		Expect(result.Of(err)).To(BeIdenticalTo(result.NotConvertible))
		Expect(result.AsError(err).Details).To(HaveKeyWithValue("field", field))
	},
		Entry("no department", func(r *mesh.RouteV2) { r.Department = "" }, "department"),
		Entry("methods", func(r *mesh.RouteV2) { r.Methods = []string{"GET"} }, "methods"),
		Entry("fraction of a millisecond", func(r *mesh.RouteV2) { r.Timeout += time.Microsecond }, "timeout"),
	)

	It("rejects an unknown schema of the kind", func() {
		_, err := Convert(service("s", 1), 2)
		Expect(result.Of(err)).To(BeIdenticalTo(result.UnknownSchema))
	})
})

// FuzzParse guards against input that crashes the parser, and against accepted
// records that change when they are printed, encoded or converted and read back.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte("[[record]]\nkind = \"service\"\nid = \"s\"\nschema = 1\nslots = 1\nqueue = 0\ndepartment = \"\\u00e9\\\"\""))
	f.Add([]byte("record = [{kind = \"caller\", id = \"c\", schema = 1, in_flight = 0x10}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		records, err := Parse(text)
		if err != nil {
			if result.Of(err) == result.Internal {
				t.Fatalf("refused without a code: %v", err)
			}
			return
		}
		g := NewWithT(t)
		printed, err := Print(records)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(Parse(printed)).To(Equal(records))
		encoded, err := Encode(records)
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := Decode(encoded)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(Encode(decoded)).To(Equal(encoded))
		for _, r := range records {
			if v1 := r.RouteV1; v1 != nil {
				v2, err := Convert(r, 2)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(Convert(v2, 1)).To(Equal(r))
			}
		}
	})
}

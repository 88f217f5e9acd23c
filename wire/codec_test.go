package wire

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

// sampleTime has nanoseconds: with an encoding in seconds, a move's target time
// would differ between nodes.
var sampleTime = time.Date(2026, 3, 4, 5, 6, 7, 123456789, time.UTC)

var samples = []Message{
	Hello{Protocol: 1, Node: "n1", Incarnation: 1 << 40, Zone: "a", Region: "r", PeerAddress: "127.0.0.1:7", InForce: 9, ViewDigest: ^uint64(0)},
	Heartbeat{Sequence: 4, InForce: 5, ViewDigest: 6},
	Members{Full: true, Members: []mesh.Member{{
		Node: "n1", Incarnation: 3, Sequence: 2, State: mesh.NodeSuspect,
		Endpoint:    mesh.Endpoint{Service: "shop", Version: "v2", Slots: 6, State: mesh.EndpointReady, Process: "p"},
		SuspectedBy: []mesh.NodeID{"n2", "n3"},
	}}},
	MembersRequest{},
	MembersRequest{Buckets: []uint64{1, 0, 1 << 63}},
	ConfigOffer{Version: 7, Digest: mesh.Digest{1, 2, 31: 9}},
	ConfigFetch{BaseVersion: 6},
	ConfigData{
		Base: 1, Version: 2, Part: 1, Parts: 2,
		Records: []mesh.Record{{
			RecordKey: mesh.RecordKey{Kind: mesh.KindRoute, ID: "r"}, Schema: 2,
			RouteV2: &mesh.RouteV2{PathPrefix: "/", Methods: []string{"GET"}, Timeout: time.Second},
		}},
		Removed: []mesh.RecordKey{{Kind: mesh.KindService, ID: "s"}},
	},
	ConfigAck{Version: 8},
	Moves{Moves: []mesh.Move{{ID: "m", Declared: sampleTime, Target: sampleTime, LeaseUntil: sampleTime, Phase: mesh.MoveWatching, Share: 0.05}}},
	EvidenceReport{Evidence: mesh.Evidence{Move: "m", Node: "n", Routes: []mesh.Comparison{{
		Route: "r", Old: mesh.Tally{Calls: 2, Latency: [mesh.LatencyBuckets]uint32{1, 1}}, New: mesh.Tally{Calls: 1},
	}}}},
	Quarantine{Crash: mesh.Crash{Service: "s", Process: "p", Fingerprints: []uint64{1, 2}, At: sampleTime}},
}

var _ = Describe("a message", func() {
	It("is decoded unchanged, for every message type", func() {
		seen := map[uint8]bool{}
		for _, m := range samples {
			seen[m.messageType()] = true
			b, err := Encode(m)
			Expect(err).NotTo(HaveOccurred())
			decoded, err := Decode(b)
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded).To(Equal(m))
		}
		Expect(seen).To(HaveLen(len(decoders)), "a message type has no sample")
	})

	It("is refused when it is larger than the limit", func() {
		big := ConfigData{Records: []mesh.Record{{RecordKey: mesh.RecordKey{ID: strings.Repeat("x", MaxMessage)}}}}
		_, err := Encode(big)
		Expect(result.Of(err)).To(Equal(result.MessageTooLarge))
		_, err = Decode(make([]byte, MaxMessage+1))
		Expect(result.Of(err)).To(Equal(result.MessageTooLarge))
	})
})

// A malformed message must be refused with a result code: if it were partly decoded,
// it could put a wrong entry into the view of every node.
var _ = DescribeTable("a malformed message",
	func(b []byte) {
		_, err := Decode(b)
		Expect(result.Of(err)).To(Equal(result.BadMessage))
	},
	Entry("empty", []byte{}),
	Entry("header only", []byte{Protocol, 2}),
	Entry("other protocol", []byte{Protocol + 1, 4, 0xa0}),
	Entry("unknown type", []byte{Protocol, 200, 0xa0}),
	Entry("bytes after the body", []byte{Protocol, 4, 0xa0, 0xa0}),
	Entry("wrong type of a field", []byte{Protocol, 8, 0xa1, 0x01, 0x61, 'x'}),
	Entry("duplicate key", []byte{Protocol, 8, 0xa2, 0x01, 0x01, 0x01, 0x02}),
	Entry("indefinite length", []byte{Protocol, 8, 0xbf, 0x01, 0x01, 0xff}),
	Entry("tag", []byte{Protocol, 8, 0xa1, 0x01, 0xc2, 0x41, 0x01}),
	Entry("deep nesting", append([]byte{Protocol, 8, 0xa1, 0x09}, bytes.Repeat([]byte{0x81}, 64)...)),
	Entry("array longer than the body", []byte{Protocol, 3, 0xa1, 0x02, 0x9a, 0xff, 0xff, 0xff, 0xff}),
)

// FuzzDecode guards against a panic in the decoder and against messages that change
// when they are decoded and encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range samples {
		b, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		encoded, err := Encode(m)
		if result.Of(err) == result.MessageTooLarge {
			return // a body that omits fields is shorter than its re-encoding
		}
		if err != nil {
			t.Fatalf("%#v: %v", m, err)
		}
		decoded, err := Decode(encoded)
		if err != nil {
			t.Fatalf("%#v: %v", m, err)
		}
		reencoded, err := Encode(decoded)
		if err != nil || !bytes.Equal(encoded, reencoded) || reflect.TypeOf(m) != reflect.TypeOf(decoded) {
			t.Fatalf("%#v was decoded as %#v: %v", m, decoded, err)
		}
	})
}

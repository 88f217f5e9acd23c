package wire

import (
	"net/http"
	"net/url"
	"testing"
	"time"

	"teaselring/mesh"
)

// FuzzAttempt guards against a panic on the headers of a call between nodes, and
// against an attempt that changes when it is written and read again.
func FuzzAttempt(f *testing.F) {
	f.Add("a/1", "s", "7", "1200", "900", "500", "2", "ff", "3,1,6")
	f.Add("a/1", "s", "18446744073709551615", "9223372036854775807", "-1", "", "", "0", "1,2")
	f.Fuzz(func(t *testing.T, id, service, incarnation, deadline, startBy, softDeadline, priority, fingerprint, load string) {
		now := time.Unix(1000, 0)
		h := http.Header{}
		for name, value := range map[string]string{
			HeaderAttempt: id, HeaderService: service, HeaderIncarnation: incarnation, HeaderDeadline: deadline,
			HeaderStartBy: startBy, HeaderSoftDeadline: softDeadline, HeaderPriority: priority, HeaderFingerprint: fingerprint,
		} {
			h.Set(name, value)
		}
		ParseLoad(load)
		r := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: h}
		a, err := ReadAttempt(r, now)
		if err != nil {
			return
		}
		r.Header = http.Header{}
		a.Write(r.Header, now)
		decoded, err := ReadAttempt(r, now)
		if err != nil {
			t.Fatalf("%+v: %v", a, err)
		}
		same := decoded.ID == a.ID && decoded.Target == a.Target && decoded.Call.Fingerprint == a.Call.Fingerprint &&
			decoded.Call.HasPriority == a.Call.HasPriority && decoded.Call.Priority == a.Call.Priority &&
			decoded.Call.SoftDeadline.IsZero() == a.Call.SoftDeadline.IsZero() && decoded.Call.StartBy.IsZero() == a.Call.StartBy.IsZero()
		if !same {
			t.Fatalf("%+v was decoded as %+v", a, decoded)
		}
		if a.Call.Deadline.After(now) && !decoded.Call.Deadline.Equal(a.Call.Deadline) {
			t.Fatalf("the deadline %v was decoded as %v", a.Call.Deadline, decoded.Call.Deadline)
		}
	})
}

// The fourth figure tells that work takes longer on the upstream's instance. It was
// dropped, so that calls went on to instances that were slow at that moment.
func TestLoad(t *testing.T) {
	for text, want := range map[string]*mesh.Load{
		"3,1,6":       {InFlight: 3, Queued: 1, Limit: 6},
		"3,1,6,250":   {InFlight: 3, Queued: 1, Limit: 6, Slowness: 250},
		"3, 1, 6,250": {InFlight: 3, Queued: 1, Limit: 6, Slowness: 250},
		"3,1,6,90,x":  {InFlight: 3, Queued: 1, Limit: 6, Slowness: 90},
		"3,1":         nil,
		"3,x,6":       nil,
		"":            nil,
	} {
		got := ParseLoad(text)
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q was decoded as %+v", text, got)
		}
		if got != nil && *ParseLoad(FormatLoad(*got)) != *got {
			t.Errorf("%q changed when it was written and read again", text)
		}
	}
}

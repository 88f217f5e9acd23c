package wire

import (
	"net/http"
	"net/url"
	"testing"
	"time"
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

package upstreamlocal

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"regexp"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// maxBodyBytes is the largest announcement in bytes; a usual one has 200.
const maxBodyBytes = 8 << 10

// announcement is a valid announcement in the ring of the announce duty.
type announcement struct{ port.Local }

// announceBody is the JSON body of POST /announce.
type announceBody struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Address string `json:"address"` // loopback IP:port at which the upstream serves calls
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Process string `json:"process"` // differs for each start of the upstream
}

var states = map[string]mesh.EndpointState{
	"starting": mesh.EndpointStarting,
	"ready":    mesh.EndpointReady,
	"draining": mesh.EndpointDraining,
}

// name matches the allowed names of services, versions and processes. They appear in
// headers, row keys and log lines.
var name = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// Limits of an upstream's slots, the same as in a service record.
const (
	minSlots = 1
	maxSlots = 4096
)

func newHandler(requests *kernel.Ring[announcement]) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", func(w http.ResponseWriter, r *http.Request) {
		a, err := parse(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err == nil {
			err = requests.Send(r.Context(), a)
		}
		if err != nil {
			port.Refuse(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func parse(r io.Reader) (announcement, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var b announceBody
	if err := decoder.Decode(&b); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return announcement{}, result.BodyTooLarge.Errorf("the announcement has more than %d bytes", maxBodyBytes)
		}
		return announcement{}, result.BadRequest.Errorf("the announcement is not valid JSON: %v", err)
	}
	return b.validate()
}

func (b *announceBody) validate() (announcement, error) {
	for _, field := range []struct{ name, value string }{
		{"service", b.Service}, {"version", b.Version}, {"process", b.Process},
	} {
		if !name.MatchString(field.value) {
			return announcement{}, invalidField(field.name, "%q is not a name of 1 to 128 letters, digits and ._:-", field.value)
		}
	}
	address, err := netip.ParseAddrPort(b.Address)
	if err != nil || !address.Addr().IsLoopback() || address.Port() == 0 {
		return announcement{}, invalidField("address", "%q is not a loopback IP:port", b.Address)
	}
	if b.Slots < minSlots || b.Slots > maxSlots {
		return announcement{}, invalidField("slots", "%d is not within %d to %d", b.Slots, minSlots, maxSlots)
	}
	state, ok := states[b.State]
	if !ok {
		return announcement{}, invalidField("state", "%q is none of starting, ready and draining", b.State)
	}
	return announcement{port.Local{
		Address: address,
		Endpoint: mesh.Endpoint{
			Service: mesh.ServiceID(b.Service), Version: mesh.UpstreamVersion(b.Version),
			Slots: b.Slots, State: state, Process: b.Process,
		},
	}}, nil
}

func invalidField(field, format string, args ...any) error {
	e := result.BadRequest.Errorf(format, args...)
	e.Message = field + ": " + e.Message
	return e.With("field", field)
}

package main

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"teaselring/decision/moves"
	"teaselring/kernel"
)

// file is a scenario file.
type file struct {
	Deployment []deployment `toml:"deployment"`
	Scenario   []scenario   `toml:"scenario"`
}

// deployment holds what the families have in common at one user.
type deployment struct {
	Name    string          `toml:"name"`    // sock-office or licence-mesh
	Slots   int             `toml:"slots"`   // of one upstream
	Latency kernel.Duration `toml:"latency"` // median of the old version, unloaded
	Spread  float64         `toml:"spread"`  // standard deviation of the latency's logarithm
}

func (d *deployment) settings() (moves.Settings, error) {
	switch d.Name {
	case "sock-office":
		return moves.SockOffice, nil
	case "licence-mesh":
		return moves.LicenceMesh, nil
	}
	return moves.Settings{}, fmt.Errorf("unknown deployment %q; allowed are sock-office and licence-mesh", d.Name)
}

// scenario is one family of moves. Each service has a move of its own; the
// calls of the first service call the second one.
type scenario struct {
	Name      string          `toml:"name"`
	Nodes     int             `toml:"nodes"`
	Upstreams int             `toml:"upstreams"` // of each version
	Duration  kernel.Duration `toml:"duration"`  // from declaration to target
	// ReportEvery is the time between two reports of a node, in seconds.
	ReportEvery int       `toml:"report_every"`
	Service     []service `toml:"service"`
	Outage      *outage   `toml:"outage"`
}

// service is the truth about one service and its new version.
type service struct {
	Rate       float64   `toml:"rate"` // calls/s
	Routes     int       `toml:"routes"`
	Failures   float64   `toml:"failures"`    // failure rate of both versions
	CallsOther float64   `toml:"calls_other"` // part of its calls that call the next service
	Noise      *noise    `toml:"noise"`       // of the old version
	Cold       *cold     `toml:"cold"`
	Bad        *bad      `toml:"bad"` // nil: the new version is good
	Overload   *overload `toml:"overload"`
}

// noise is bursts of failures.
type noise struct {
	Every    kernel.Duration `toml:"every"`
	For      kernel.Duration `toml:"for"`
	Failures float64         `toml:"failures"`
}

// cold is how an upstream process starts: worse in its first calls and span.
type cold struct {
	Calls    int             `toml:"calls"`
	For      kernel.Duration `toml:"for"`
	Failures float64         `toml:"failures"`
	Slower   float64         `toml:"slower"` // factor
}

// bad is how the new version is worse than the old one.
type bad struct {
	After      kernel.Duration `toml:"after"`       // since the declaration, plus up to Within
	Within     kernel.Duration `toml:"within"`      // uniform over seeds
	AboveShare float64         `toml:"above_share"` // of the service's calls, under load
	OneRoute   bool            `toml:"one_route"`
	Failures   float64         `toml:"failures"`    // in addition to the common ones
	Slower     float64         `toml:"slower"`      // factor
	SlowPart   float64         `toml:"slow_part"`   // of calls that are slower; 0: all
	CrashEvery float64         `toml:"crash_every"` // mean calls between crashes
}

// outage is a time without the platform; the upstreams suffer too.
type outage struct {
	After    kernel.Duration `toml:"after"`
	Within   kernel.Duration `toml:"within"`
	For      kernel.Duration `toml:"for"`
	Failures float64         `toml:"failures"` // of calls of either version
}

// overload is a time with more calls.
type overload struct {
	After  kernel.Duration `toml:"after"`
	Within kernel.Duration `toml:"within"`
	For    kernel.Duration `toml:"for"`
	Factor float64         `toml:"factor"`
}

func load(path string) (*file, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f file
	if err := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields().Decode(&f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i := range f.Scenario {
		f.Scenario[i].defaults()
	}
	return &f, nil
}

func (s *scenario) defaults() {
	if s.Nodes == 0 {
		s.Nodes = 12
	}
	if s.Upstreams == 0 {
		s.Upstreams = 4
	}
	if s.ReportEvery == 0 {
		s.ReportEvery = 1
	}
	if s.Duration.Duration == 0 {
		s.Duration = kernel.Span(10 * time.Minute)
	}
}

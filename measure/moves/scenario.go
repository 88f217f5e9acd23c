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

// scenarioFile is the content of a scenario file.
type scenarioFile struct {
	Deployment []deployment `toml:"deployment"`
	Scenario   []scenario   `toml:"scenario"`
}

// deployment holds the parameters that all families share in one deployment.
type deployment struct {
	Name    string          `toml:"name"`    // sock-office or licence-mesh
	Slots   int             `toml:"slots"`   // of one upstream
	Latency kernel.Duration `toml:"latency"` // median of the old version, unloaded
	Spread  float64         `toml:"spread"`  // standard deviation of the logarithm of the latency
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

// scenario is one family of moves. Each service has its own move. Calls to a
// service may call the next service.
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

// service holds the true behavior of one service and its new version.
type service struct {
	Rate       float64        `toml:"rate"` // calls/s
	Routes     int            `toml:"routes"`
	Failures   float64        `toml:"failures"`    // failure rate of both versions
	CallsOther float64        `toml:"calls_other"` // share of its calls that call the next service
	Noise      *failureBursts `toml:"noise"`       // of the old version
	Cold       *coldStart     `toml:"cold"`
	Bad        *defect        `toml:"bad"` // nil: the new version is good
	Overload   *overload      `toml:"overload"`
}

// failureBursts describes periodic bursts of failures.
type failureBursts struct {
	Every    kernel.Duration `toml:"every"`
	For      kernel.Duration `toml:"for"`
	Failures float64         `toml:"failures"`
}

// coldStart degrades an upstream process during its first calls and for some
// time after the first call.
type coldStart struct {
	Calls    int             `toml:"calls"`
	For      kernel.Duration `toml:"for"`
	Failures float64         `toml:"failures"`
	Slower   float64         `toml:"slower"` // factor
}

// defect describes how the new version is worse than the old one.
type defect struct {
	After      kernel.Duration `toml:"after"`       // since the declaration, plus a random time up to Within
	Within     kernel.Duration `toml:"within"`      // uniformly distributed
	AboveShare float64         `toml:"above_share"` // minimum share of the service's calls
	OneRoute   bool            `toml:"one_route"`
	Failures   float64         `toml:"failures"`    // added to the service's failure rate
	Slower     float64         `toml:"slower"`      // factor
	SlowPart   float64         `toml:"slow_part"`   // share of calls that are slower; 0: all
	CrashEvery float64         `toml:"crash_every"` // mean calls between crashes
}

// outage is a period without the platform, in which calls fail more often.
type outage struct {
	After    kernel.Duration `toml:"after"`
	Within   kernel.Duration `toml:"within"`
	For      kernel.Duration `toml:"for"`
	Failures float64         `toml:"failures"` // of calls of either version
}

// overload is a period with a higher call rate.
type overload struct {
	After  kernel.Duration `toml:"after"`
	Within kernel.Duration `toml:"within"`
	For    kernel.Duration `toml:"for"`
	Factor float64         `toml:"factor"`
}

func loadScenarios(path string) (*scenarioFile, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f scenarioFile
	if err := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields().Decode(&f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i := range f.Scenario {
		f.Scenario[i].setDefaults()
	}
	return &f, nil
}

func (s *scenario) setDefaults() {
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

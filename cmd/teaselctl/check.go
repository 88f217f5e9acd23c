package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"teaselring/decision/config"
	"teaselring/decision/configcheck"
	"teaselring/mesh"
	"teaselring/operator"
	"teaselring/platform"
	"teaselring/result"
)

// checkFlags holds the flags of the command check.
type checkFlags struct {
	inForce   string
	upstreams []string
	memoryMB  int64
}

// checked is the result of the command check.
type checked struct {
	File     string                `json:"file"`
	Error    string                `json:"error,omitempty"` // for which nodes refuse the configuration
	Findings []configcheck.Finding `json:"findings,omitempty"`
	Changes  []configcheck.Change  `json:"changes,omitempty"`
}

func (c *cli) check() *cobra.Command {
	var flags checkFlags
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration before it is sent",
		Long: `Checks a whole configuration: records in TOML, or the platform's JSON. FILE may be - for standard input.

It reports the error for which nodes would refuse it, entries that can never match, limits that contradict each
other, and what differs from the version in force. With --address, the version in force and the upstreams
are those of the mesh; without it nothing is sent.

Exit codes:
  0  nothing found
  6  nodes would refuse the configuration
  7  nodes would take it, but something in it can't be as intended`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return c.runCheck(args[0], &flags) },
	}
	command.Flags().StringVar(&flags.inForce, "in-force", "", "file with the configuration in force, to compare with")
	command.Flags().StringArrayVar(&flags.upstreams, "upstreams", nil, "upstreams of a service and the slots of each, SERVICE=N:SLOTS; may be repeated")
	command.Flags().Int64Var(&flags.memoryMB, "memory", 0, "memory of the smallest instance in MB; 0: unknown")
	return command
}

func (c *cli) runCheck(file string, flags *checkFlags) error {
	candidate, err := readConfiguration(file)
	if err != nil {
		return c.reportInvalid(file, err)
	}
	known, inForce, err := c.known(flags)
	if err != nil {
		return err
	}
	r := checked{File: file, Findings: configcheck.Check(candidate, known)}
	if inForce != nil {
		r.Changes = configcheck.Diff(inForce, candidate)
	}
	if err := c.print(r, func(t *table) { printChecked(t, &r) }); err != nil {
		return err
	}
	if len(r.Findings) > 0 {
		return &exitError{exitDoubtful, fmt.Sprintf("%s: %d findings", file, len(r.Findings))}
	}
	return nil
}

// reportInvalid prints the error for which nodes refuse a configuration. Other errors, such
// as that of a missing file, are returned.
func (c *cli) reportInvalid(file string, err error) error {
	var refused *result.Error
	if !errors.As(err, &refused) {
		return err
	}
	if err := c.print(checked{File: file, Error: refused.Error()}, func(t *table) { t.row("error", refused) }); err != nil {
		return err
	}
	return &exitError{exitInvalid, file + ": nodes would refuse this configuration"}
}

// readConfiguration reads and decodes a configuration with the code of the nodes.
func readConfiguration(file string) (*mesh.Snapshot, error) {
	content, err := readFile(file)
	if err != nil {
		return nil, err
	}
	if trimmed := bytes.TrimSpace(content); len(trimmed) > 0 && trimmed[0] == '{' {
		return platform.DecodeConfiguration(content)
	}
	records, err := config.Parse(content)
	if err != nil {
		return nil, err
	}
	return config.Build(1, records)
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

// known returns what the flags and, with an address, a node tell about the mesh, and the
// configuration in force; nil: unknown.
func (c *cli) known(flags *checkFlags) (known configcheck.Mesh, inForce *mesh.Snapshot, err error) {
	known.Memory = flags.memoryMB << 20
	if known.Upstreams, err = parseUpstreams(flags.upstreams); err != nil {
		return known, nil, err
	}
	if flags.inForce != "" {
		if inForce, err = readConfiguration(flags.inForce); err != nil {
			return known, nil, err
		}
	}
	if c.address == "" && c.env("TEASELCTL_ADDRESS") == "" {
		return known, inForce, nil
	}
	client, err := c.client()
	if err != nil {
		return known, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	if known.Upstreams == nil {
		if known.Upstreams, err = upstreamsOf(ctx, client); err != nil {
			return known, nil, err
		}
	}
	if inForce == nil {
		inForce, err = recordsInForce(ctx, client)
	}
	return known, inForce, err
}

// parseUpstreams parses SERVICE=N:SLOTS.
func parseUpstreams(list []string) (map[mesh.ServiceID]configcheck.Capacity, error) {
	if len(list) == 0 {
		return nil, nil
	}
	upstreams := map[mesh.ServiceID]configcheck.Capacity{}
	for _, text := range list {
		name, figures, _ := strings.Cut(text, "=")
		count, slots, _ := strings.Cut(figures, ":")
		n, err := strconv.Atoi(count)
		each, slotsErr := strconv.Atoi(slots)
		if name == "" || err != nil || slotsErr != nil || n < 0 || each < 1 || each > mesh.MaxSlots {
			return nil, fmt.Errorf("--upstreams %q is not allowed; allowed is SERVICE=N:SLOTS with 1 to %d slots", text, mesh.MaxSlots)
		}
		upstreams[mesh.ServiceID(name)] = configcheck.Capacity{Upstreams: n, Slots: n * each}
	}
	return upstreams, nil
}

func upstreamsOf(ctx context.Context, client *operator.Client) (map[mesh.ServiceID]configcheck.Capacity, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	upstreams := map[mesh.ServiceID]configcheck.Capacity{}
	for i := range status.Nodes {
		if u := status.Nodes[i].Upstream; u != nil && u.State == "ready" {
			capacity := upstreams[u.Service]
			capacity.Upstreams++
			capacity.Slots += u.Slots
			upstreams[u.Service] = capacity
		}
	}
	return upstreams, nil
}

func recordsInForce(ctx context.Context, client *operator.Client) (*mesh.Snapshot, error) {
	records, err := client.Records(ctx, 0)
	if err != nil {
		return nil, err
	}
	parsed, err := config.Parse([]byte(records.TOML))
	if err != nil {
		return nil, err
	}
	return config.Build(max(records.Version, 1), parsed)
}

func printChecked(t *table, r *checked) {
	for _, f := range r.Findings {
		t.row("warning", f.Entry, f.Field, f.Text)
	}
	for _, change := range r.Changes {
		switch {
		case change.Field != "":
			t.row("~", change.Entry, change.Field, change.From+" -> "+change.To)
		case change.Added:
			t.row("+", change.Entry, "", "")
		default:
			t.row("-", change.Entry, "", "")
		}
	}
	if len(r.Findings)+len(r.Changes) == 0 {
		t.row("nothing found")
	}
}

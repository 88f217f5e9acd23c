package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"teaselring/mesh"
	"teaselring/operator"
)

func (c *cli) status() *cobra.Command {
	return c.command("status", "Show the nodes, their configuration versions and upstreams", cobra.NoArgs,
		func(ctx context.Context, client *operator.Client, _ []string) error {
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			return c.print(status, func(t *table) { printStatus(t, status) })
		})
}

func printStatus(t *table, status operator.StatusResponse) {
	t.row("NODE", "ZONE", "STATE", "VERSION", "UPSTREAM", "REFUSED")
	for _, n := range status.Nodes {
		upstream, refused := "-", "-"
		if u := n.Upstream; u != nil {
			upstream = fmt.Sprintf("%s %s %s", u.Service, u.Version, u.State)
		}
		if n.Refused != 0 {
			refused = fmt.Sprintf("%d: code %d, %s", n.Refused, n.Code, n.Reason)
		}
		t.row(n.Node, n.Zone, n.State, n.InForce, upstream, refused)
	}
}

func (c *cli) drain() *cobra.Command {
	return c.command("drain NODE", "Stop sending new work to the upstream beside a node", cobra.ExactArgs(1),
		func(ctx context.Context, client *operator.Client, args []string) error {
			if err := client.Drain(ctx, mesh.NodeID(args[0])); err != nil {
				return err
			}
			return c.print(operator.DrainRequest{Node: mesh.NodeID(args[0])}, func(t *table) { t.row(args[0], "drains") })
		})
}

func (c *cli) audit() *cobra.Command {
	var stream string
	var after uint64
	var limit int
	command := c.command("audit", "Print entries of the audit trail", cobra.NoArgs,
		func(ctx context.Context, client *operator.Client, _ []string) error {
			response, err := client.Audit(ctx, stream, after, limit)
			if err != nil {
				return err
			}
			return c.print(response, func(t *table) { printAudit(t, response) })
		})
	command.Flags().StringVar(&stream, "stream", "config", "config, move/<id> or node/<id>/<incarnation>")
	command.Flags().Uint64Var(&after, "after", 0, "sequence number to start after")
	command.Flags().IntVar(&limit, "limit", 100, "most entries to print")
	return command
}

func printAudit(t *table, response operator.AuditResponse) {
	t.row("SEQ", "TIME", "WHO", "ACTION", "SUBJECT", "FROM", "TO", "CODE", "WHY")
	for _, e := range response.Entries {
		t.row(e.Sequence, e.Time.Format(time.RFC3339), e.Who, e.Action, e.Subject, e.From, e.To, e.Code, e.Why)
		if e.Lost > 0 {
			t.row(e.Sequence, "", "", fmt.Sprintf("%d entries before this one were dropped", e.Lost))
		}
	}
	for _, gap := range response.Gaps {
		t.row(gap.From, "", "", fmt.Sprintf("entries %d to %d are missing", gap.From, gap.To))
	}
}

package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"teaselring/mesh"
	"teaselring/operator"
)

func (c *cli) move() *cobra.Command {
	move := &cobra.Command{Use: "move", Short: "Shift the traffic of a service to another upstream version"}
	move.AddCommand(c.moveStart(), c.moveWatch(), c.moveTakeBack(), c.moveList())
	return move
}

func (c *cli) moveStart() *cobra.Command {
	var request operator.StartMoveRequest
	var target string
	var routes []string
	command := c.command("start", "Declare a move", cobra.NoArgs,
		func(ctx context.Context, client *operator.Client, _ []string) error {
			var err error
			if request.Target, err = parseTarget(target, time.Now()); err != nil {
				return err
			}
			for _, route := range routes {
				request.Routes = append(request.Routes, mesh.RouteID(route))
			}
			if request.ID == "" {
				request.ID = mesh.MoveID(operator.NewID())
			}
			move, err := client.StartMove(ctx, request)
			if exitCode(err) == exitTimeout {
				return fmt.Errorf("the outcome is not known; see teaselctl move watch %s: %w", request.ID, err)
			}
			return c.printMoves(move, err, move)
		})
	flags := command.Flags()
	flags.StringVar((*string)(&request.ID), "id", "", "id of the move; generated when empty")
	flags.StringVar((*string)(&request.Service), "service", "", "service")
	flags.StringVar((*string)(&request.Old), "old", "", "upstream version in use")
	flags.StringVar((*string)(&request.New), "new", "", "upstream version to move to")
	flags.StringArrayVar(&routes, "route", nil, "route to move, may be repeated; all routes of the service when absent")
	flags.StringVar(&target, "target", "", "when the move must be done or taken back: a time in RFC 3339, or a duration from now such as 45m")
	for _, required := range []string{"service", "old", "new", "target"} {
		_ = command.MarkFlagRequired(required)
	}
	return command
}

// parseTarget parses a time, or a duration from now.
func parseTarget(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d), nil
	}
	target, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return target, fmt.Errorf("--target %q is not allowed; allowed is a time such as 2026-03-01T04:00:00Z or a duration such as 45m", text)
	}
	return target, nil
}

func (c *cli) moveWatch() *cobra.Command {
	command := &cobra.Command{
		Use: "watch MOVE", Short: "Follow a move until it is done or taken back", Args: cobra.ExactArgs(1),
		Long: "Follows a move until it is done or taken back. Without --timeout it waits until 1 minute after the target time.",
	}
	command.RunE = func(_ *cobra.Command, args []string) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		id := mesh.MoveID(args[0])
		if !command.Flags().Changed("timeout") {
			ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
			defer cancel()
			move, err := client.Move(ctx, id)
			if err != nil {
				return err
			}
			c.timeout = max(c.timeout, time.Until(move.Target)+time.Minute)
		}
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		defer cancel()
		move, err := client.WatchMove(ctx, id, c.printProgress)
		if err := c.printMoves(move, err, move); err != nil {
			return err
		}
		if move.Phase == mesh.MoveTakenBack {
			return &exitError{exitNotApplied, fmt.Sprintf("move %s was taken back: %s", move.ID, move.Reason)}
		}
		return nil
	}
	return command
}

func (c *cli) printProgress(move mesh.Move) {
	lateNote := ""
	if move.Late {
		lateNote = ", can't be done by its target time"
	}
	fmt.Fprintf(c.stderr, "move %s: %s, share %.1f%%%s: %s\n", move.ID, move.Phase, 100*move.Share, lateNote, move.Reason)
}

func (c *cli) moveTakeBack() *cobra.Command {
	var why string
	command := c.command("take-back MOVE", "Return the traffic of a move to the old upstream version", cobra.ExactArgs(1),
		func(ctx context.Context, client *operator.Client, args []string) error {
			move, err := client.TakeBack(ctx, mesh.MoveID(args[0]), why)
			return c.printMoves(move, err, move)
		})
	command.Flags().StringVar(&why, "why", "", "reason, for the audit trail")
	return command
}

func (c *cli) moveList() *cobra.Command {
	return c.command("list", "List moves", cobra.NoArgs,
		func(ctx context.Context, client *operator.Client, _ []string) error {
			response, err := client.Moves(ctx)
			return c.printMoves(response, err, response.Moves...)
		})
}

// printMoves prints value as JSON or the moves as a table, unless there is an
// error.
func (c *cli) printMoves(value any, err error, moves ...mesh.Move) error {
	if err != nil {
		return err
	}
	return c.print(value, func(t *table) {
		t.row("MOVE", "SERVICE", "OLD", "NEW", "PHASE", "SHARE", "TARGET", "REASON")
		for _, m := range moves {
			share := fmt.Sprintf("%.1f%%", 100*m.Share)
			t.row(m.ID, m.Service, m.Old, m.New, m.Phase, share, m.Target.Format(time.RFC3339), m.Reason)
		}
	})
}

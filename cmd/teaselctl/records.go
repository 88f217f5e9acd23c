package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"teaselring/mesh"
	"teaselring/operator"
)

// changeFlags holds the flags that describe a change of records.
type changeFlags struct {
	file   string
	base   uint64
	remove []string
}

func (f *changeFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVarP(&f.file, "file", "f", "", "records in TOML; - for standard input")
	flags.Uint64Var(&f.base, "base", 0, "configuration version that the change is based on; 0 for the newest")
	flags.StringArrayVar(&f.remove, "remove", nil, "record to remove, kind/id; may be repeated")
	command.MarkFlagsOneRequired("file", "remove")
}

func (f *changeFlags) request() (operator.ApplyRequest, error) {
	request := operator.ApplyRequest{Base: mesh.Version(f.base)}
	for _, text := range f.remove {
		key, err := operator.ParseRecordKey(text)
		if err != nil {
			return request, fmt.Errorf("--remove %q is not allowed; allowed is kind/id", text)
		}
		request.Remove = append(request.Remove, key)
	}
	var err error
	switch f.file {
	case "":
	case "-":
		request.Records, err = io.ReadAll(os.Stdin)
	default:
		request.Records, err = os.ReadFile(f.file)
	}
	return request, err
}

func (c *cli) apply() *cobra.Command {
	var flags changeFlags
	var publication, why string
	var wait bool
	command := c.command("apply", "Publish records as a new configuration version", cobra.NoArgs,
		func(ctx context.Context, client *operator.Client, _ []string) error {
			request, err := flags.request()
			if err != nil {
				return err
			}
			request.Publication, request.Why = publication, why
			if request.Publication == "" {
				request.Publication = operator.NewID()
			}
			applied, err := client.Apply(ctx, request)
			if exitCode(err) == exitTimeout {
				return fmt.Errorf("the outcome is not known; repeat with --publication %s: %w", request.Publication, err)
			}
			if err != nil {
				return err
			}
			if err := c.printApplied(applied); err != nil || !wait {
				return err
			}
			return waitConverged(ctx, client, applied.Version)
		})
	flags.register(command)
	command.Flags().StringVar(&publication, "publication", "", "id of the publication, to repeat one whose outcome is not known")
	command.Flags().StringVar(&why, "why", "", "reason, for the audit trail")
	command.Flags().BoolVar(&wait, "wait", false, "wait until every alive node has applied or refused the version")
	return command
}

func (c *cli) printApplied(applied operator.ApplyResponse) error {
	return c.print(applied, func(t *table) {
		text := fmt.Sprintf("version %d", applied.Version)
		if applied.Merged {
			text += ", merged with changes since the base version"
		}
		t.row(text)
	})
}

func waitConverged(ctx context.Context, client *operator.Client, version mesh.Version) error {
	convergence, err := client.WaitConverged(ctx, version)
	if err == nil && convergence.Refused > 0 {
		return &exitError{exitNotApplied, fmt.Sprintf("version %d was refused by %d of %d nodes", version, convergence.Refused, convergence.Nodes)}
	}
	return err
}

func (c *cli) validate() *cobra.Command {
	var flags changeFlags
	command := c.command("validate", "Check records without publishing them", cobra.NoArgs,
		func(ctx context.Context, client *operator.Client, _ []string) error {
			request, err := flags.request()
			if err != nil {
				return err
			}
			checked, err := client.Validate(ctx, request)
			if err != nil {
				return err
			}
			return c.print(checked, func(t *table) { t.row(fmt.Sprintf("valid with version %d", checked.Version)) })
		})
	flags.register(command)
	return command
}

func (c *cli) get() *cobra.Command {
	var version uint64
	command := c.command("get", "Print the records of a configuration version", cobra.NoArgs,
		func(ctx context.Context, client *operator.Client, _ []string) error {
			records, err := client.Records(ctx, mesh.Version(version))
			if err != nil {
				return err
			}
			if c.output == "json" {
				return c.print(records, nil)
			}
			_, err = fmt.Fprintf(c.stdout, "# version %d\n%s", records.Version, records.TOML)
			return err
		})
	command.Flags().Uint64Var(&version, "version", 0, "configuration version; 0 for the one in force")
	return command
}

func (c *cli) diff() *cobra.Command {
	var from, to uint64
	command := c.command("diff", "Compare two configuration versions", cobra.NoArgs,
		func(ctx context.Context, client *operator.Client, _ []string) error {
			diff, err := client.Diff(ctx, mesh.Version(from), mesh.Version(to))
			if err != nil {
				return err
			}
			return c.print(diff, func(t *table) { printDiff(t, diff) })
		})
	command.Flags().Uint64Var(&from, "from", 0, "older configuration version")
	command.Flags().Uint64Var(&to, "to", 0, "newer configuration version; 0 for the one in force")
	_ = command.MarkFlagRequired("from")
	return command
}

func printDiff(t *table, diff operator.DiffResponse) {
	for _, key := range diff.Removed {
		t.row("-", key.Kind, key.ID)
	}
	for _, key := range diff.Added {
		t.row("+", key.Kind, key.ID)
	}
	for _, record := range diff.Changed {
		for _, field := range record.Fields {
			t.row("~", record.Kind, record.ID, field.Field, field.From, "->", field.To)
		}
	}
}

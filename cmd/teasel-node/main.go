// Command teasel-node is the process that runs beside each upstream.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"teaselring/kernel"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(2)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "teasel-node", Short: "The teaselring process beside an upstream", SilenceUsage: true}
	root.AddCommand(runCommand(), checkCommand(), pluginsCommand(), versionCommand())
	return root
}

func runCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "run",
		Short: "Run the node until SIGTERM; a second signal ends it without waiting for calls",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, err := kernel.Load(file)
			if err != nil {
				return err
			}
			os.Exit(kernel.Run(kernel.Options(settings, kernel.NewLogger(os.Stderr))))
			return nil
		},
	}
	settingsFlag(c, &file)
	return c
}

func checkCommand() *cobra.Command {
	var file string
	var defaults bool
	c := &cobra.Command{
		Use:   "check-config",
		Short: "Check a settings file, or print every setting with its default",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if defaults {
				text, err := kernel.Defaults().Encode()
				if err != nil {
					return err
				}
				_, err = cmd.OutOrStdout().Write(text)
				return err
			}
			if _, err := kernel.Load(file); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", file)
			return nil
		},
	}
	settingsFlag(c, &file)
	c.Flags().BoolVar(&defaults, "defaults", false, "print every setting with its default and meaning")
	return c
}

func settingsFlag(c *cobra.Command, file *string) {
	c.Flags().StringVarP(file, "settings", "s", "teasel-node.toml", "settings file (TOML)")
}

func pluginsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "plugins",
		Short: "List the plug-ins, duties and rings of this program",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			inventory, err := kernel.Inspect(kernel.Defaults())
			if err != nil {
				return err
			}
			return printInventory(tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0), inventory)
		},
	}
}

func printInventory(w *tabwriter.Writer, inventory *kernel.Inventory) error {
	fmt.Fprintln(w, "PLUG-IN\tPURPOSE")
	for _, p := range inventory.Plugins {
		fmt.Fprintf(w, "%s\t%s\n", p.Name, p.Doc)
	}
	fmt.Fprintln(w, "\nDUTY\tOWNS\tRECEIVES FROM\tSENDS TO")
	for _, d := range inventory.Duties {
		fmt.Fprintf(w, "%s\t%s\t%v\t%v\n", d.Name, d.Owns, d.In, d.Out)
	}
	fmt.Fprintln(w, "\nRING\tCAPACITY\tWHEN FULL")
	for _, r := range inventory.Rings {
		fmt.Fprintf(w, "%s\t%d\t%s\n", r.Name, r.Capacity, r.Full)
	}
	return w.Flush()
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the program",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			info, _ := debug.ReadBuildInfo()
			fmt.Fprintf(cmd.OutOrStdout(), "teasel-node %s %s\n", info.Main.Version, info.GoVersion)
		},
	}
}

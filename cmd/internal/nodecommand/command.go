// Package nodecommand implements the command line of the programs that run beside an
// upstream. The programs differ only in their plug-ins.
package nodecommand

import (
	"fmt"
	"os"
	"runtime/debug"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"teaselring/kernel"
	_ "teaselring/kernel/earlysignal" // ignores SIGHUP until the run command receives it
)

// New returns the command line of a program whose plug-ins are registered. defaultFile
// is the settings file that is read unless a flag names another; empty: none.
func New(program, short, defaultFile string) *cobra.Command {
	root := &cobra.Command{Use: program, Short: short, SilenceUsage: true}
	root.AddCommand(runCommand(program, defaultFile), checkCommand(defaultFile), pluginsCommand(), versionCommand(program))
	return root
}

func runCommand(program, defaultFile string) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "run",
		Short: "Run the node until SIGTERM; a second signal ends it without waiting for calls",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals := kernel.NotifySignals()
			loaded, err := loadSettings(file)
			if err != nil {
				return err
			}
			output := kernel.NewLogWriter(os.Stdout)
			logger := kernel.NewLogger(output)
			logger.Info().Str("program", program).Int("pid", os.Getpid()).Msg("started")
			code := kernel.Run(signals, kernel.Options(loaded, logger))
			logger.Info().Str("program", program).Int("exit", code).Msg("stopped")
			output.Close()
			os.Exit(code)
			return nil
		},
	}
	addSettingsFlag(c, defaultFile, &file)
	return c
}

func checkCommand(defaultFile string) *cobra.Command {
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
			if _, err := loadSettings(file); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", file)
			return nil
		},
	}
	addSettingsFlag(c, defaultFile, &file)
	c.Flags().BoolVar(&defaults, "defaults", false, "print every setting with its default and meaning")
	return c
}

// loadSettings reads a settings file, or returns the defaults if file is empty.
func loadSettings(file string) (*kernel.Settings, error) {
	if file == "" {
		return kernel.Defaults(), nil
	}
	return kernel.Load(file)
}

func addSettingsFlag(c *cobra.Command, defaultFile string, file *string) {
	c.Flags().StringVarP(file, "settings", "s", defaultFile, "settings file (TOML)")
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

func versionCommand(program string) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the program",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			info, _ := debug.ReadBuildInfo()
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s %s\n", program, info.Main.Version, info.GoVersion)
		},
	}
}

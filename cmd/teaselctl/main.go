// Command teaselctl is the operators' command line of teaselring. It sends requests
// to the operators' listener of any node.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"teaselring/operator"
	"teaselring/result"
)

// Exit codes.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitTimeout     = 3
	exitUnreachable = 4
	exitNotApplied  = 5
	exitInvalid     = 6
	exitDoubtful    = 7
)

const exitCodes = `Exit codes:
  0  the request succeeded
  1  the node refused the request with a numbered code, printed on stderr
  2  the command line, a file or an environment variable is wrong
  3  the timeout expired; the request may still take effect
  4  the node is unreachable
  5  the watched move was taken back, or nodes refused the version (apply --wait)
  6  check: nodes would refuse the configuration
  7  check: nodes would take the configuration, but something in it can't be as intended`

// defaultTimeout is longer than a node takes for all attempts of a publication on
// a slow platform.
const defaultTimeout = 30 * time.Second

// exitError is an error with its own exit code.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string { return e.message }

// cli holds the flags that all commands share.
type cli struct {
	env          func(string) string
	stdout       io.Writer
	stderr       io.Writer
	address      string
	token        string
	operatorName string
	output       string
	timeout      time.Duration
}

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

func run(args []string, env func(string) string, stdout, stderr io.Writer) int {
	c := &cli{env: env, stdout: stdout, stderr: stderr}
	root := c.root()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err != nil {
		c.printError(err)
	}
	return exitCode(err)
}

func (c *cli) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "teaselctl",
		Short:         "Publishes configuration, controls moves and shows the state of the nodes",
		Long:          "teaselctl publishes configuration, controls moves and shows the state of the nodes.\n\n" + exitCodes,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&c.address, "address", "", "operators' address of any node, IP:port (or env TEASELCTL_ADDRESS)")
	flags.StringVar(&c.token, "token", "", "operator's token (or env TEASELCTL_TOKEN)")
	flags.StringVar(&c.operatorName, "operator", "", "your name for the audit trail (or env TEASELCTL_OPERATOR, or USER)")
	flags.StringVarP(&c.output, "output", "o", "table", "table or json")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest time to wait")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if c.output != "table" && c.output != "json" {
			return fmt.Errorf("--output %q is not allowed; allowed is table or json", c.output)
		}
		if c.timeout <= 0 {
			return fmt.Errorf("--timeout %v is not allowed; allowed is a time above 0", c.timeout)
		}
		return nil
	}
	root.AddCommand(c.apply(), c.validate(), c.check(), c.get(), c.diff(), c.status(), c.move(), c.drain(), c.audit(), c.version())
	return root
}

// command returns a command that calls run with a client and a context that ends
// after the timeout.
func (c *cli) command(use, short string, args cobra.PositionalArgs, run func(ctx context.Context, client *operator.Client, args []string) error) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: args,
		RunE: func(_ *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
			defer cancel()
			return run(ctx, client, args)
		},
	}
}

func (c *cli) client() (*operator.Client, error) {
	address, token := c.address, c.token
	if address == "" {
		address = c.env("TEASELCTL_ADDRESS")
	}
	if token == "" {
		token = c.env("TEASELCTL_TOKEN")
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %q is not allowed; allowed is the IP:port of a node's operators' listener", address)
	}
	client := operator.New(parsed, token)
	client.OperatorName = cmp.Or(c.operatorName, c.env("TEASELCTL_OPERATOR"), c.env("USER"))
	client.Progress = func(message string) { fmt.Fprintln(c.stderr, message) }
	return client, nil
}

// exitCode classifies an error. An error that is neither a refusal nor a failure of the
// transport is a usage error.
func exitCode(err error) int {
	var exit *exitError
	var refused *result.Error
	var transport *operator.TransportError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &transport) && !transport.Sent:
		return exitUnreachable
	case errors.Is(err, context.DeadlineExceeded):
		return exitTimeout
	case errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &transport):
		return exitUnreachable
	default:
		return exitUsage
	}
}

func (c *cli) version() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version of teaselctl", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			return c.print(map[string]string{"version": version}, func(t *table) { t.row(version) })
		},
	}
}

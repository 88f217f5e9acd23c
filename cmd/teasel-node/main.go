// Command teasel-node is the process that runs beside each upstream.
package main

import (
	"os"

	"teaselring/cmd/internal/nodecommand"
)

func main() {
	if err := nodecommand.New("teasel-node", "The teaselring process beside an upstream", "teasel-node.toml").Execute(); err != nil {
		os.Exit(2)
	}
}

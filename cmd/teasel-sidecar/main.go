// Command teasel-sidecar is the process that runs beside each server of the
// users' platform.
package main

import (
	"os"

	"teaselring/cmd/internal/nodecommand"
)

func main() {
	if err := nodecommand.New("teasel-sidecar", "The teaselring process beside a server of the platform", "").Execute(); err != nil {
		os.Exit(2)
	}
}

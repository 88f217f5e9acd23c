// Command teasel-demo runs a small mesh in one process: an in-memory platform, some
// nodes and upstreams. It applies a configuration, moves one service to a good version
// and another to a bad one, and checks that the first move finishes and the second is
// taken back. It takes less than a minute.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// maxDuration bounds the run time of the demonstration.
const maxDuration = 58 * time.Second

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "the demonstration failed:", err)
		os.Exit(1)
	}
}

var startTime = time.Now()

func report(format string, args ...any) {
	fmt.Printf("%5.1fs  %s\n", time.Since(startTime).Seconds(), fmt.Sprintf(format, args...))
}

// Command teasel-demo runs a small mesh in one process: a platform in memory,
// a few nodes and upstreams. It applies a configuration, moves one service to a
// good version and another to a bad one, and shows how the first move finishes
// and the second is taken back. It ends by itself in under a minute.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// limit is how long the demonstration may take.
const limit = 58 * time.Second

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "the demonstration failed:", err)
		os.Exit(1)
	}
}

var started = time.Now()

func say(format string, args ...any) {
	fmt.Printf("%5.1fs  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

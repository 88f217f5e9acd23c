// Command standin plays one case of the review: it starts the project's nodes as
// processes, is the platform's store, the servers and the clients itself, and exits
// with 1 if the rule of the case was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"runtime"
)

var cases = map[string]func(*scene){
	"upload": uploadCase,
	"late":   lateCase,
	"odd":    oddCase,
	"poison": poisonCase,
	"stray":  strayCase,
	"lost":   lostCase, // of an entry; not one of the five
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM FOLDER")
		os.Exit(2)
	}
	runtime.LockOSThread() // the nodes end with this thread
	s := newScene(os.Args[2], os.Args[3])
	cases[os.Args[1]](s)
	s.finish()
}

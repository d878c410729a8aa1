// Command review-rig runs the cases of the review: it starts rosedale-edge as separate processes
// beside stand-ins of the store, the targets, the callers and the routers, disturbs them as the
// case says, and checks one rule by what callers and targets see.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*rig) (broken bool, err error){
	"config-storm": configStorm,
	"many-changes": manyChanges,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to run")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	binary := flag.String("edge", "target/rosedale-edge", "path of rosedale-edge")
	flag.Parse()
	do, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitFailed
	}
	edge, err := filepath.Abs(*binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r, err := newRig(edge, *record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	broken, err := do(r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		r.note("result: the rule was broken")
		return exitBroken
	}
	r.note("result: the rule held")
	return exitHeld
}

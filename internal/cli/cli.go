// Package cli implements error handling and exit codes of the daemons' command lines.
package cli

import (
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// Exit codes of the daemons.
const (
	ExitFailure = 1
	ExitUsage   = 2
)

// ErrUsage is the cause of errors in a program's arguments.
var ErrUsage = errors.New("usage")

// Main runs a daemon with the process's arguments. If run fails, Main prints the error and
// exits with ExitUsage or ExitFailure; flag.ErrHelp counts as success.
func Main(name string, run func(args []string) error) {
	err := run(os.Args[1:])
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	fmt.Fprintln(os.Stderr, name+":", err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	if errors.Is(err, ErrUsage) {
		return ExitUsage
	}
	return ExitFailure
}

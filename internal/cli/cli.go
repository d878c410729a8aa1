// Package cli holds what the daemons' command lines share.
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

// ErrUsage is the cause of errors in how a program was called.
var ErrUsage = errors.New("usage")

// Main runs a daemon with its arguments and ends the process with an exit code.
func Main(name string, run func(args []string) error) {
	err := run(os.Args[1:])
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	fmt.Fprintln(os.Stderr, name+":", err)
	os.Exit(code(err))
}

func code(err error) int {
	if errors.Is(err, ErrUsage) {
		return ExitUsage
	}
	return ExitFailure
}

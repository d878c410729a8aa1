// Command rosedale is the operators' command-line tool: it edits the catalogue in
// the platform's store and shows the state of the balancers.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"rosedale.dev/rosedale/internal/operator"
	"rosedale.dev/rosedale/internal/store"
)

// app holds the flags that all commands share.
type app struct {
	storeURL, token, prefix string
	admin                   string
	output                  string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root().ParseAndRun(ctx, os.Args[1:])
	code := exitCode(err)
	if code != exitOK {
		fmt.Fprintln(os.Stderr, "rosedale:", err)
	}
	os.Exit(code)
}

const rootHelp = `Every flag can also be set in the environment, as in ROSEDALE_STORE.

Exit codes: 0 success, 1 failure, 2 usage, 3 no such entry, 4 conflict with
another edit, 5 unknown whether the edit took effect, 6 invalid entry, 7 not in
force in time, 8 the edit did not take effect and may be tried again.`

func root() *ffcli.Command {
	a := &app{}
	fs := flag.NewFlagSet("rosedale", flag.ContinueOnError)
	fs.StringVar(&a.storeURL, "store", "http://127.0.0.1:8500", "address of the platform's store")
	fs.StringVar(&a.token, "token", "", "access token of the store")
	fs.StringVar(&a.prefix, "prefix", "rosedale", "prefix of the keys in the store")
	fs.StringVar(&a.admin, "admin", "127.0.0.1:7001", "admin address of any balancer")
	fs.StringVar(&a.output, "o", "table", "output: table or json")
	return &ffcli.Command{
		Name:       "rosedale",
		ShortUsage: "rosedale [flags] <command>",
		ShortHelp:  "Operate a rosedale deployment.",
		LongHelp:   rootHelp,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix("ROSEDALE")},
		Subcommands: []*ffcli.Command{
			a.catalogue(), a.status(), a.flows(), a.explain(), a.drain(), a.snapshot(), a.edge(), keysCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (a *app) entries() *operator.Catalogue {
	return &operator.Catalogue{Store: store.NewConsul(a.storeURL, a.token), Prefix: a.prefix}
}

func (a *app) fleet() *operator.Fleet { return &operator.Fleet{Admin: a.admin} }

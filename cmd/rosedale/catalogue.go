package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/operator"
)

func (a *app) catalogue() *ffcli.Command {
	return &ffcli.Command{
		Name:       "catalogue",
		ShortUsage: "rosedale catalogue <list|get|put|edit|delete|check|diff|wait>",
		ShortHelp:  "Show and edit the catalogue of services.",
		Subcommands: []*ffcli.Command{
			a.list(), a.get(), a.put(), a.edit(), a.delete(), a.check(), a.diff(), a.wait(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// withOneArg returns the Exec function of a command with exactly one argument. what names the
// argument in usage errors.
func withOneArg(what string, f func(ctx context.Context, arg string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usage("exactly one %s is needed", what)
		}
		return f(ctx, args[0])
	}
}

func (a *app) list() *ffcli.Command {
	return &ffcli.Command{
		Name: "list", ShortUsage: "rosedale catalogue list", ShortHelp: "List the entries.",
		Exec: func(ctx context.Context, _ []string) error {
			stored, invalid, err := a.entries().List(ctx)
			if err != nil {
				return err
			}
			t := newTable("NAME", "OWNER", "NUMBER", "ADDRESSES", "TARGETS", "INDEX")
			var services []any
			for _, e := range stored {
				s := e.Service
				t.row(s.Name, s.Owner, s.Number, len(s.Addresses), len(s.Targets), e.Index)
				services = append(services, s)
			}
			for _, entryErr := range invalid {
				fmt.Fprintln(os.Stderr, "rosedale: invalid:", entryErr)
			}
			return a.print(t, services)
		},
	}
}

const indexComment = "# index: "

func (a *app) get() *ffcli.Command {
	return &ffcli.Command{
		Name: "get", ShortUsage: "rosedale catalogue get NAME",
		ShortHelp: "Print an entry in the format of put, with its index in a comment.",
		Exec: withOneArg("name", func(ctx context.Context, name string) error {
			e, err := a.entries().Get(ctx, name)
			if err != nil {
				return err
			}
			if a.output == "json" {
				return printJSON(e.Service)
			}
			fmt.Printf("%s%d\n%s", indexComment, e.Index, e.Text)
			return nil
		}),
	}
}

// readEntry reads an entry from a file, or from standard input for "-". It returns the index
// in the comment that get writes on the first line, or 0 if there is none.
func readEntry(path string) (*catalogue.Service, uint64, error) {
	var b []byte
	var err error
	if path == "-" {
		b, err = io.ReadAll(os.Stdin)
	} else {
		b, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "read entry")
	}
	var index uint64
	if line, _, _ := strings.Cut(string(b), "\n"); strings.HasPrefix(line, indexComment) {
		_, _ = fmt.Sscanf(line, indexComment+"%d", &index)
	}
	s, err := catalogue.Parse(b)
	return s, index, err
}

func (a *app) put() *ffcli.Command {
	fs := flag.NewFlagSet("put", flag.ContinueOnError)
	index := fs.Uint64("index", 0, "index of the version to replace; 0 means the file's, or a new entry if it has none")
	return &ffcli.Command{
		Name: "put", ShortUsage: "rosedale catalogue put [-index N] FILE", FlagSet: fs,
		ShortHelp: "Write an entry unless it has changed since it was read.",
		Exec: withOneArg("file", func(ctx context.Context, path string) error {
			s, old, err := readEntry(path)
			if err != nil {
				return err
			}
			if *index != 0 {
				old = *index
			}
			return a.write(ctx, s, old)
		}),
	}
}

func (a *app) write(ctx context.Context, s *catalogue.Service, old uint64) error {
	index, err := a.entries().Put(ctx, s, old)
	var c *operator.Conflict
	if errors.As(err, &c) {
		fmt.Fprint(os.Stderr, c.Diff)
	}
	if err != nil {
		return err
	}
	if a.output == "json" {
		return printJSON(map[string]any{"name": s.Name, "index": index})
	}
	fmt.Printf("%s is at index %d\n", s.Name, index)
	return nil
}

// indexOr returns index, or the index of the entry's current version if index is 0.
func (a *app) indexOr(ctx context.Context, index uint64, name string) (uint64, error) {
	if index != 0 {
		return index, nil
	}
	e, err := a.entries().Get(ctx, name)
	return e.Index, err
}

func (a *app) delete() *ffcli.Command {
	fs := flag.NewFlagSet("delete", flag.ContinueOnError)
	index := fs.Uint64("index", 0, "index of the version to delete; 0 means the current one")
	return &ffcli.Command{
		Name: "delete", ShortUsage: "rosedale catalogue delete [-index N] NAME", FlagSet: fs,
		ShortHelp: "Delete an entry; its open flows continue, new ones are refused.",
		Exec: withOneArg("name", func(ctx context.Context, name string) error {
			old, err := a.indexOr(ctx, *index, name)
			if err != nil {
				return err
			}
			return a.entries().Delete(ctx, name, old)
		}),
	}
}

func (a *app) check() *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "rosedale catalogue check FILE...",
		ShortHelp: "Validate files, alone and for conflicts between them; needs no store.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usage("at least one file is needed")
			}
			var all []*catalogue.Service
			for _, f := range args {
				s, _, err := readEntry(f)
				if err != nil {
					return err
				}
				if err := s.Conflict(all); err != nil {
					return err
				}
				all = append(all, s)
			}
			fmt.Printf("%d entries are valid\n", len(all))
			return nil
		},
	}
}

func (a *app) diff() *ffcli.Command {
	return &ffcli.Command{
		Name: "diff", ShortUsage: "rosedale catalogue diff FILE",
		ShortHelp: "Show what put would change.",
		Exec: withOneArg("file", func(ctx context.Context, path string) error {
			s, _, err := readEntry(path)
			if err != nil {
				return err
			}
			e, err := a.entries().Get(ctx, s.Name)
			if err != nil && exitCode(err) != exitNotFound {
				return err
			}
			fmt.Print(operator.Diff(e.Service, s))
			return nil
		}),
	}
}

func (a *app) wait() *ffcli.Command {
	fs := flag.NewFlagSet("wait", flag.ContinueOnError)
	index := fs.Uint64("index", 0, "index to wait for; 0 means the current one")
	limit := fs.Duration("timeout", 30*time.Second, "how long to wait")
	return &ffcli.Command{
		Name: "wait", ShortUsage: "rosedale catalogue wait [-index N] [-timeout D] NAME", FlagSet: fs,
		ShortHelp: "Wait until every live balancer has an entry's version in force.",
		Exec: withOneArg("name", func(ctx context.Context, name string) error {
			want, err := a.indexOr(ctx, *index, name)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, *limit)
			defer cancel()
			if err := a.fleet().Wait(ctx, name, want); err != nil {
				return errors.Wrap(errNotInForce, err.Error())
			}
			fmt.Printf("%s is in force everywhere at index %d\n", name, want)
			return nil
		}),
	}
}

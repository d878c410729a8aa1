package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

func (a *app) snapshot() *ffcli.Command {
	fs := flag.NewFlagSet("snapshot", flag.ContinueOnError)
	path := fs.String("file", "rosedale-snapshot.zip", "archive to write; it must not exist")
	return &ffcli.Command{
		Name: "snapshot", ShortUsage: "rosedale snapshot [-file F]", FlagSet: fs,
		ShortHelp: "Save the state of every live balancer in an archive, to investigate a failure.",
		Exec: func(ctx context.Context, _ []string) error {
			f, err := os.OpenFile(*path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, secretMode)
			if err != nil {
				return errors.Wrap(err, "snapshot")
			}
			if err := a.fleet().Snapshot(ctx, f); err != nil {
				_ = f.Close()
				_ = os.Remove(*path)
				return err
			}
			if err := f.Close(); err != nil {
				return errors.Wrap(err, "snapshot")
			}
			_, err = fmt.Println(*path)
			return err
		},
	}
}

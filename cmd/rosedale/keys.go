package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/keys"
)

const (
	caFile     = "ca.crt"
	caKeyFile  = "ca.key"
	day        = 24 * time.Hour
	publicMode = 0o644
	secretMode = 0o600
)

func keysCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "keys", ShortUsage: "rosedale keys <ca|vm>", ShortHelp: "Create the certificate authority of a deployment and its VMs' certificates.",
		Subcommands: []*ffcli.Command{caCommand(), vmCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func caCommand() *ffcli.Command {
	fs := flag.NewFlagSet("ca", flag.ContinueOnError)
	dir := fs.String("dir", ".", "folder for ca.crt and ca.key")
	days := fs.Int("days", 3650, "validity in days")
	return &ffcli.Command{
		Name: "ca", ShortUsage: "rosedale keys ca [-dir D] [-days N] DEPLOYMENT", FlagSet: fs,
		ShortHelp: "Create the certificate authority of a deployment.",
		Exec: withOneArg("deployment name", func(_ context.Context, name string) error {
			p, err := keys.NewAuthority(name, time.Duration(*days)*day, time.Now())
			if err != nil {
				return err
			}
			return save(p, filepath.Join(*dir, caFile), filepath.Join(*dir, caKeyFile))
		}),
	}
}

func vmCommand() *ffcli.Command {
	fs := flag.NewFlagSet("vm", flag.ContinueOnError)
	dir := fs.String("dir", ".", "folder with ca.crt and ca.key, and for the results")
	days := fs.Int("days", 90, "validity in days")
	return &ffcli.Command{
		Name: "vm", ShortUsage: "rosedale keys vm [-dir D] [-days N] NAME...", FlagSet: fs,
		ShortHelp: "Create certificates of VMs, signed by the authority.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usage("at least one VM name is needed")
			}
			var ca keys.Pair
			var err error
			if ca.Cert, err = os.ReadFile(filepath.Join(*dir, caFile)); err != nil {
				return errors.Wrap(err, "keys")
			}
			if ca.Key, err = os.ReadFile(filepath.Join(*dir, caKeyFile)); err != nil {
				return errors.Wrap(err, "keys")
			}
			for _, name := range args {
				p, err := keys.NewMember(ca, name, time.Duration(*days)*day, time.Now())
				if err != nil {
					return err
				}
				if err := save(p, filepath.Join(*dir, name+".crt"), filepath.Join(*dir, name+".key")); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// save writes a pair to new files. It fails if one of them exists.
func save(p keys.Pair, cert, key string) error {
	for _, f := range []struct {
		path string
		data []byte
		mode os.FileMode
	}{{cert, p.Cert, publicMode}, {key, p.Key, secretMode}} {
		file, err := os.OpenFile(f.path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, f.mode)
		if err != nil {
			return errors.Wrap(err, "keys")
		}
		_, err = file.Write(f.data)
		if cerr := file.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			return errors.Wrap(err, "keys")
		}
	}
	return nil
}

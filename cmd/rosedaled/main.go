// Command rosedaled is the load balancer for platforms whose targets answer callers through
// the balancers. One runs on every entry VM, a VM to which the fabric delivers callers' packets.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/cli"
	"rosedale.dev/rosedale/internal/daemon"
	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/internal/settings"
)

func main() { cli.Main("rosedaled", run) }

// overrides holds the settings given by flags and ROSEDALED_* variables; empty ones keep the
// file's value.
type overrides struct {
	name, dataCenter, data, control, admin, store, folder, level string
}

func run(args []string) error {
	fs := flag.NewFlagSet("rosedaled", flag.ContinueOnError)
	config := fs.String("config", "", "settings file (TOML)")
	check := fs.Bool("check", false, "check the settings and exit")
	var o overrides
	fs.StringVar(&o.name, "name", "", "overrides name")
	fs.StringVar(&o.dataCenter, "data-center", "", "overrides data_center")
	fs.StringVar(&o.data, "data-listen", "", "overrides data.listen")
	fs.StringVar(&o.control, "control-listen", "", "overrides control.listen")
	fs.StringVar(&o.admin, "admin-listen", "", "overrides admin.listen")
	fs.StringVar(&o.store, "store-url", "", "overrides store.url")
	fs.StringVar(&o.folder, "catalogue-folder", "", "overrides catalogue.folder")
	fs.StringVar(&o.level, "log-level", "", "overrides log.level")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("ROSEDALED")); err != nil {
		return err
	}
	if *config == "" {
		return errors.Wrap(cli.ErrUsage, "-config is needed")
	}
	set, err := settings.Read(*config)
	if err != nil {
		return err
	}
	if err := o.apply(&set); err != nil {
		return err
	}
	if err := set.Check(); err != nil {
		return err
	}
	if *check {
		fmt.Println("settings are valid")
		return nil
	}
	log, err := logging.New(os.Stdout, set.Log.Level, set.Name, set.DataCenter)
	if err != nil {
		return err
	}
	defer log.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return daemon.Run(ctx, set, log)
}

func (o overrides) apply(s *settings.Settings) error {
	for _, f := range []struct {
		value string
		into  *string
	}{
		{o.name, &s.Name}, {o.dataCenter, &s.DataCenter}, {o.store, &s.Store.URL},
		{o.folder, &s.Catalogue.Folder}, {o.level, &s.Log.Level},
	} {
		if f.value != "" {
			*f.into = f.value
		}
	}
	for _, f := range []struct {
		flag, value string
		into        *netip.AddrPort
	}{
		{"data-listen", o.data, &s.Data.Listen},
		{"control-listen", o.control, &s.Control.Listen},
		{"admin-listen", o.admin, &s.Admin.Listen},
	} {
		if f.value == "" {
			continue
		}
		a, err := netip.ParseAddrPort(f.value)
		if err != nil {
			return errors.Wrapf(cli.ErrUsage, "-%s: %v", f.flag, err)
		}
		*f.into = a
	}
	return nil
}

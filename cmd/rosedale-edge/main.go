// Command rosedale-edge is the load balancer for platforms whose targets answer
// callers directly. One runs on every entry VM, a VM to which the routers deliver
// callers' packets.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/cli"
	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/edge"
	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/platform"
)

// heapPercent is the share of the VM's memory limit from which on garbage is collected more often.
const heapPercent = 70

// limitHeap sets the memory limit of the Go runtime for a VM, if the VM has a limit.
func limitHeap(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * heapPercent / 100)
	}
}

func main() { cli.Main("rosedale-edge", run) }

func run(args []string) error {
	// Registered first, since SIGHUP without a handler would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	fs := flag.NewFlagSet("rosedale-edge", flag.ContinueOnError)
	config := fs.String("config", os.Getenv(platform.BootVariable), "the platform's settings file")
	check := fs.Bool("check", false, "check the settings and exit")
	without := fs.String("without", "", "features to switch off, separated by commas; help lists them")
	level := fs.String("log-level", "info", "debug, info, warn or error")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("ROSEDALE_EDGE")); err != nil {
		return err
	}
	if *without == "help" {
		printMechanisms()
		return nil
	}
	off, err := direct.ParseMechanisms(*without)
	if err != nil {
		return errors.Wrapf(cli.ErrUsage, "-without: %v", err)
	}
	if *config == "" {
		return errors.Wrapf(cli.ErrUsage, "-config or %s is needed", platform.BootVariable)
	}
	boot, err := platform.ReadBoot(*config)
	if err != nil {
		return err
	}
	if *check {
		fmt.Println("settings are valid")
		return nil
	}
	log, err := logging.New(os.Stdout, *level, boot.VM, boot.DataCenter)
	if err != nil {
		return err
	}
	defer log.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go edge.Reload(reload, *config, log)
	limitHeap(boot.MemoryMB)
	return edge.Run(ctx, boot, off, log)
}

func printMechanisms() {
	for _, m := range direct.Mechanisms() {
		fmt.Printf("%-16s %s\n", m, m.Describe())
	}
}

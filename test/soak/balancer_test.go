package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"rosedale.dev/rosedale/internal/edge"
	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// silenceable is the environment variable that makes the test program run as a balancer
// whose open connections can be silenced.
const silenceable = "SOAK_SILENCEABLE"

// silenceSignal silences the connections of peers that are open at a silenceable balancer.
const silenceSignal = syscall.SIGUSR1

// TestMain runs the tests, or a balancer if the variable silenceable is set.
func TestMain(m *testing.M) {
	if os.Getenv(silenceable) == "" {
		os.Exit(m.Run())
	}
	if err := runBalancer(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runBalancer runs a balancer as cmd/rosedale-edge does, but for its listening socket.
func runBalancer() error {
	silence := make(chan os.Signal, 1)
	signal.Notify(silence, silenceSignal)
	path := os.Getenv(platform.BootVariable)
	boot, err := platform.ReadBoot(path)
	if err != nil {
		return err
	}
	log, err := logging.New(os.Stdout, "info", boot.VM, boot.DataCenter)
	if err != nil {
		return err
	}
	defer log.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go edge.Reload(reload, path, log)
	return edge.Run(ctx, boot, 0, log, edge.WithListen(func(network, address string) (net.Listener, error) {
		ln, err := direct.Listen(network, address)
		if err != nil {
			return nil, err
		}
		go func() {
			for range silence {
				log.Info("connections silenced")
				ln.Silence()
			}
		}()
		return ln, nil
	}))
}

package caller

import (
	"net"
	"testing"
	"time"
)

// A target's process stands still when a run ends, and takes the connection but never
// answers. The run must end all the same, with an error.
func TestSilentTargetDoesNotHoldTheRunUp(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	done := make(chan error, 1)
	go func() {
		_, err := executions(ln.Addr().String())
		done <- err
	}()
	select {
	case err := <-done:
		if err == nil {
			t.Error("no error")
		}
	case <-time.After(2 * executionsTimeout):
		t.Error("still waits")
	}
}

package caller

import (
	"net"
	"testing"
	"time"
)

// Guards against a run that never ends: a hung target process accepts the connection
// on which its executions are queried but does not answer. The run must end with an error.
func TestSilentTargetDoesNotHoldTheRunUp(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	done := make(chan error, 1)
	go func() {
		_, err := fetchExecutions(ln.Addr().String())
		done <- err
	}()
	select {
	case err := <-done:
		if err == nil {
			t.Error("no error from a target that does not answer")
		}
	case <-time.After(2 * executionsTimeout):
		t.Error("the query did not time out")
	}
}

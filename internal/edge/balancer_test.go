package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// balancer is a balancer that runs in this process.
type balancer struct {
	boot platform.Boot
	// link relays the balancer's connections to the store.
	link *direct.Relay
	// control accepts the connections of the other balancers, once the balancer runs.
	control chan *direct.Listener
	edge    *Edge // set when it starts
	stop    context.CancelFunc
	done    chan error
	out     *output
}

// output collects the log of a balancer.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// listen opens the socket for the connections of other balancers.
func (b *balancer) listen(network, address string) (net.Listener, error) {
	ln, err := direct.Listen(network, address)
	if err != nil {
		return nil, err
	}
	b.control <- ln
	return ln, nil
}

// silence silences the open connections of a balancer, to the store and of its peers, and
// returns the number of the latter.
func (b *balancer) silence() int {
	b.link.Silence()
	ln := <-b.control
	defer func() { b.control <- ln }()
	return ln.Silence()
}

// deafen sets whether a balancer answers none of its peers on any connection.
func (b *balancer) deafen(on bool) {
	ln := <-b.control
	defer func() { b.control <- ln }()
	ln.Deafen(on)
}

// slow limits the speed of a balancer's answers to each of its peers, in bytes per second.
func (b *balancer) slow(bytesPerSecond int) {
	ln := <-b.control
	defer func() { b.control <- ln }()
	ln.Slow(bytesPerSecond)
}

// shutdown stops a balancer as SIGTERM does, and waits for it.
func (b *balancer) shutdown(t *testing.T) {
	b.stop()
	select {
	case err := <-b.done:
		if err != nil {
			t.Errorf("balancer ended: %v", err)
		}
		b.done <- nil
	case <-time.After(b.boot.Grace):
		t.Error("balancer did not end within its grace period")
	}
}

func (b *balancer) isReady() bool { return b.probe(b.boot.Ready, platform.ReadyPath) == http.StatusOK }

// registration returns the balancer's key in the store.
func (b *balancer) registration() string { return platform.MemberPrefix + b.boot.VM }

// adminStatus returns the status from the balancer's admin endpoint.
func (b *balancer) adminStatus(t *testing.T) Status {
	t.Helper()
	resp, err := http.Get("http://" + net.JoinHostPort(b.boot.Data.Addr().String(), AdminPort) + StatusPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var s Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		t.Fatal(err)
	}
	return s
}

func (b *balancer) probe(a netip.AddrPort, path string) int {
	resp, err := http.Get("http://" + a.String() + path)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// lines returns the log lines with the given message.
func (b *balancer) lines(t *testing.T, msg string) []map[string]any {
	t.Helper()
	var out []map[string]any
	for _, l := range strings.Split(strings.TrimSpace(b.out.String()), "\n") {
		var m map[string]any
		if err := json.Unmarshal([]byte(l), &m); err != nil {
			t.Fatalf("log line %q: %v", l, err)
		}
		if m["msg"] == msg {
			out = append(out, m)
		}
	}
	return out
}

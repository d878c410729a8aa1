package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// writeSources writes the bootstrap sources, as the first balancer in rank does after
// some time.
func (d *deployment) writeSources(size int, sources ...*balancer) {
	d.t.Helper()
	s := peer.BootstrapSources{Size: size}
	for _, b := range sources {
		s.Balancers = append(s.Balancers, b.boot.Control)
	}
	v, err := peer.Encode(s)
	if err != nil {
		d.t.Fatal(err)
	}
	d.store.PutRaw(platform.SourcesPrefix+"a", v)
}

// When all VMs of a data centre start at once, each listing of the store takes as long as
// all of them together. A balancer that starts while there are bootstrap sources must not
// need a listing to be ready, to serve and to register.
func TestSourcesHandOutFirstCopies(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.writeSources(3, d.balancers...)
	d.store.RefuseListings(true)
	b := d.start(address(d.net, balancerNet, 10))
	d.eventually(3*time.Second, "the new balancer is ready", b.isReady)
	d.mustAsk(b, previews)
	d.eventually(3*time.Second, "the new balancer is registered", func() bool { return len(d.store.Keys(b.registration())) == 1 })
	lines := b.lines(t, "first copy")
	if len(lines) != 1 || lines[0]["source"] == "store" {
		t.Errorf("log lines of the first copy: %v", lines)
	}
}

// All bootstrap sources in the store are gone. A VM that starts must list the store
// itself after a moment.
func TestStartsWithoutItsSources(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	gone := &balancer{}
	gone.boot.Control = d.balancers[0].boot.Control
	d.balancers[0].shutdown(t)
	d.writeSources(3, gone)
	b := d.start(address(d.net, balancerNet, 10))
	d.eventually(3*time.Second, "the new balancer is ready", b.isReady)
	d.mustAsk(b, previews)
	if d.store.Listings() == 0 {
		t.Error("the store was not listed")
	}
}

// A source is starting and cannot reach the store. It must refuse requests for its copy
// soon, as the next source may have one.
func TestSourceWithoutACopyRefusesSoon(t *testing.T) {
	t.Parallel()
	d := deploy(t, 0)
	d.store.FailAll(direct.Busy)
	b := d.start(address(d.net, balancerNet, 1))
	url := "http://" + b.boot.Control.String() + changesPath + "?after=0"
	d.eventually(time.Second, "the source listens", func() bool {
		c, err := net.Dial("tcp4", b.boot.Control.String())
		if err != nil {
			return false
		}
		return c.Close() == nil
	})
	began := time.Now()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if took := time.Since(began); resp.StatusCode != http.StatusServiceUnavailable || took < copyWait || took > 3*copyWait {
		t.Errorf("status %d after %v", resp.StatusCode, took)
	}
	d.eventually(3*time.Second, "the refusal is counted", func() bool {
		return strings.Contains(metricsPage(t, b), "rosedale_copies_refused 1")
	})
	if log := b.out.String(); !strings.Contains(log, errNoCopy.Error()) {
		t.Error("the refusal is not logged")
	}
}

// The first balancer in rank writes the bootstrap sources once the balancers that started
// with it have registered. They are not written again while they stay the same.
func TestSourcesAreWritten(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	read := func() (peer.BootstrapSources, error) {
		return peer.DecodeBootstrapSources(d.store.Value(platform.SourcesPrefix + "a"))
	}
	d.eventually(sourcesInterval+3*time.Second, "sources are written", func() bool {
		s, err := read()
		return err == nil && s.Size == 3
	})
	s, err := read()
	if err != nil || len(s.Balancers) != 3 || s.Balancers[0] != d.balancers[0].boot.Control {
		t.Errorf("sources %v, %v", s, err)
	}
	time.Sleep(2 * time.Second)
	if n := d.store.Writes(platform.SourcesPrefix + "a"); n != 1 {
		t.Errorf("written %d times", n)
	}
}

// A balancer sends a peer two requests on one connection, more than a second apart. The
// time limit of the first answer must not end the second one.
func TestAnswersOnAKeptConnection(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	c, err := net.Dial("tcp4", d.balancers[0].boot.Control.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for _, request := range []struct {
		after  string
		status int
	}{{"0", http.StatusOK}, {"rubbish", http.StatusBadRequest}} {
		if _, err := fmt.Fprintf(c, "GET %s?after=%s HTTP/1.1\r\nHost: x\r\n\r\n", changesPath, request.after); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("after=%s: %v", request.after, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != request.status {
			t.Errorf("after=%s: status %d, want %d", request.after, resp.StatusCode, request.status)
		}
		time.Sleep(fetchTimeout + 100*time.Millisecond)
	}
}

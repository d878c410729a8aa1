package forward

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"rosedale.dev/rosedale/internal/readfail"
	"rosedale.dev/rosedale/internal/router"
)

// failingConn is a socket whose reads fail.
type failingConn struct{ reads atomic.Int64 }

var errRead = errors.New("no buffer space")

func (c *failingConn) ReadBatch([]ipv4.Message, int) (int, error) {
	c.reads.Add(1)
	return 0, errRead
}

func (c *failingConn) WriteBatch(ms []ipv4.Message, _ int) (int, error) { return len(ms), nil }

// Reads of the data path's socket fail for good. The worker must not occupy a processor, and
// the failure must be counted, reported once, and end the process after readfail.Limit.
func TestLastingReadErrorOccupiesNoProcessor(t *testing.T) {
	reported := 0
	p, err := New(Config{Listen: netip.MustParseAddrPort("127.0.7.30:6081"), Workers: 1,
		ReadFailed: func(error) { reported++ }}, router.New(router.Settings{}), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c := &failingConn{}
	w := newWorker(p, p.socks[0])
	w.conn = c
	done := make(chan struct{})
	go func() { defer close(done); w.run() }()
	time.Sleep(20 * readfail.Pause)
	if n := c.reads.Load(); n > 25 {
		t.Errorf("%d reads in the time of 20 pauses", n)
	}
	select {
	case err = <-p.Failed():
	case <-time.After(readfail.Limit + 5*time.Second):
		t.Fatal("the failure was not reported")
	}
	<-done
	if !errors.Is(err, errRead) || reported != 1 || p.ReadErrors.Load() == 0 {
		t.Errorf("error %v, logged %d times, %d read errors counted", err, reported, p.ReadErrors.Load())
	}
}

package edge

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/metrics"
	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// largeState returns a desired state of about the given size, in bytes.
func largeState(version, size int) map[string]any {
	s := desiredState(version, scans, newRoute)
	s["note"] = strings.Repeat("x", size)
	return s
}

// While the store is away for the balancers, so many versions of a large catalogue are written
// that the changes exceed the largest response. The balancers must list the store instead of
// asking for the same changes again and again.
func TestChangesThatExceedAResponseAreListed(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.store.FailAll(direct.Busy)
	time.Sleep(600 * time.Millisecond)
	for version := 10; version < 16; version++ {
		d.store.Put(platform.CatalogueKey, largeState(version, 900_000))
	}
	d.store.FailAll(direct.Healthy)
	for _, b := range d.balancers {
		d.eventually(b.boot.Apply, "the last version is in force", func() bool { return b.adminStatus(t).Version == 15 })
	}
	if n := d.balancers[0].edge.counts.readsTooLarge.Load(); n == 0 {
		t.Error("no response was counted as too large")
	}
}

// A peer's changes exceed the limit of an answer. The next request must ask for a full copy, which
// may be smaller, instead of the same changes again.
func TestChangesTooLargeLeadToACopy(t *testing.T) {
	c := newTestControl(t)
	c.replica.Replace(nil, at(30), 0)
	c.edge.packets = &packets{edge: c.edge, loaded: make(chan struct{})}
	c.edge.times = newTimes(metrics.New())
	c.handleFetched(nil, 0, netip.MustParseAddrPort("10.0.0.1:1"), errors.Wrap(peer.ErrTooLarge, "changes"))
	if !c.wantsCopy || c.edge.counts.changesTooLarge.Load() != 1 {
		t.Errorf("asks for a copy %v, %d answers counted", c.wantsCopy, c.edge.counts.changesTooLarge.Load())
	}
	packed, err := peer.Pack(nil)
	if err != nil {
		t.Fatal(err)
	}
	c.handleFetched(&peer.Changes{Position: 31, Packed: packed}, 0, netip.MustParseAddrPort("10.0.0.1:1"), nil)
	if c.wantsCopy {
		t.Error("asks for a copy after an answer")
	}
}

// A full copy exceeds the limit of an answer, and so do those of all peers. They must not be asked
// for it again and again, but the store.
func TestCopyTooLargeIsNotAskedForAgain(t *testing.T) {
	c := newTestControl(t)
	c.replica.Replace(nil, at(30), 0)
	c.edge.packets = &packets{edge: c.edge, loaded: make(chan struct{})}
	c.edge.times = newTimes(metrics.New())
	c.fetch, c.underWay, c.events = newFetchClient(), map[int]*peerRequest{}, make(chan func(), eventQueue)
	from := netip.MustParseAddrPort("127.0.0.1:1")
	for range 2 { // the changes, then the copy
		c.handleFetched(nil, 0, from, errors.Wrap(peer.ErrTooLarge, "changes"))
	}
	c.fetchFromAny(t.Context(), 0, []source{{addr: from}})
	if _, asked := c.fetches.Oldest(); asked {
		t.Error("a peer is asked again")
	}
	c.handleRead(readResult{position: at(31)})
	if c.copyTooLarge || c.wantsCopy {
		t.Error("no peer is asked after the store was read")
	}
}

// Peers read their answers slowly. Beyond a share of the memory further ones must be refused.
func TestAnswersOnTheirWayAreBounded(t *testing.T) {
	c := newTestControl(t)
	c.edge.boot.MemoryMB = 16
	answer := &peer.Changes{Packed: make([]byte, 700_000)}
	slow := &slowWriter{header: http.Header{}, release: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		c.writeChanges(slow, answer)
		close(done)
	}()
	for c.answerBytes.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	refused := httptest.NewRecorder()
	c.writeChanges(refused, answer)
	if refused.Code != http.StatusServiceUnavailable || c.edge.counts.answersRefused.Load() != 1 {
		t.Errorf("status %d, %d refusals counted", refused.Code, c.edge.counts.answersRefused.Load())
	}
	close(slow.release)
	<-done
	sent := httptest.NewRecorder()
	c.writeChanges(sent, answer)
	if sent.Code != http.StatusOK || c.answerBytes.Load() != 0 {
		t.Errorf("status %d, %d bytes on their way", sent.Code, c.answerBytes.Load())
	}
}

// slowWriter is a response that is not read until it is released.
type slowWriter struct {
	header  http.Header
	release chan struct{}
}

func (w *slowWriter) Header() http.Header { return w.header }
func (w *slowWriter) WriteHeader(int)     {}
func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

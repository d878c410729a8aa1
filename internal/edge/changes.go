package edge

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/revision"
)

const (
	// fetchTimeout bounds fetching changes from another balancer.
	fetchTimeout = time.Second
	// dialTimeout bounds connecting to it: one without power does not answer, and an
	// opening that is lost is repeated by the kernel after a second only.
	dialTimeout = 250 * time.Millisecond
	changesPath = "/changes"
	// maxChanges bounds an answer in bytes.
	maxChanges = 16 << 20
	// askTicks paces questions to other balancers at a start, in ticks.
	askTicks = 2
	// askOldTicks paces them while the copy is old: an outage of the store makes
	// all balancers ask.
	askOldTicks = 6
	// oldCopy is the age of the copy from which on they are asked: the first in
	// rank has taken over reading by then.
	oldCopy = 1800 * time.Millisecond
	// seedTick is the tick at which a starting balancer asks its seeds: the store
	// has answered by then if it can, and asking both costs 2 ms of a processor.
	seedTick = 2
	// fullNarrow and fullWide are how many balancers at once get a full copy over
	// a narrow and a wide link; the others wait in line, as all of a data centre do
	// when they start at once. With 3,000 targets it has 57 KB, 0.05 s of a link of 10
	// Mbit/s: copies that are sent side by side would all arrive last.
	fullNarrow = 2
	fullWide   = 16
	// unknownHistory stands for the history of a balancer that has not told it.
	unknownHistory = math.MaxInt64
)

// serve answers other balancers that lag.
//
// Failure: a balancer loses power while it takes a full copy. It shows as a source that
// hands out no copies for minutes, until the kernel ends the connection. Whoever asked
// has given up after fetchTimeout, so that nothing is written for longer.
func (c *control) serve() error {
	ln, err := net.Listen("tcp4", c.edge.boot.Control.String())
	if err != nil {
		return errors.Wrapf(err, "control: listen on %s", c.edge.boot.Control)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(changesPath, c.serveChanges)
	c.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, WriteTimeout: fetchTimeout}
	go func() {
		if err := c.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			c.log.Error("control: server ended", zap.Error(err))
		}
	}()
	return nil
}

// serveChanges runs on the server's goroutines.
func (c *control) serveChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	era, err := eraOf(r)
	if err != nil {
		http.Error(w, "era: "+err.Error(), http.StatusBadRequest)
		return
	}
	if after == 0 {
		if err := c.takeFull(r.Context()); err != nil {
			c.edge.counts.copiesRefused.Add(1)
			c.log.Info("copy refused", zap.String("to", r.RemoteAddr), zap.String("reason", err.Error()))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-c.fulls }()
		c.edge.counts.copiesSent.Add(1)
	}
	answer := make(chan *peer.Changes, 1)
	c.post(func() { answer <- c.changes(after, era) })
	select {
	case ch := <-answer:
		c.writeChanges(w, ch)
	case <-r.Context().Done():
	}
}

// Reasons why a balancer gets no full copy here.
var (
	errNoCopy   = errors.New("no copy here yet")
	errCopyLine = errors.New("too many others wait")
)

// takeFull waits until there is a copy here and one more may be sent. It returns an
// error if that takes too long. It is for other goroutines.
func (c *control) takeFull(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, copyHold)
	defer stop()
	select {
	case <-c.edge.packets.loaded:
	case <-ctx.Done():
		return errNoCopy
	}
	select {
	case c.fulls <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errCopyLine
	}
}

// fullCopies returns how many full copies a balancer sends side by side.
func fullCopies(m peer.Member) int {
	if m.Wide {
		return fullWide
	}
	return fullNarrow
}

func newFetchClient() *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Timeout:   fetchTimeout,
		Transport: &http.Transport{DialContext: d.DialContext, DisableCompression: true, IdleConnTimeout: time.Minute},
	}
}

func (c *control) writeChanges(w http.ResponseWriter, ch *peer.Changes) {
	if ch == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b, err := peer.Encode(ch)
	if err != nil {
		c.log.Error("control: changes", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(b); err != nil {
		c.log.Warn("control: changes not delivered", zap.Error(err))
	}
}

// anyEra stands for the era of a balancer that does not tell it.
const anyEra = -1

// eraOf returns the era that a balancer's question is of.
func eraOf(r *http.Request) (int64, error) {
	if !r.URL.Query().Has("era") {
		return anyEra, nil
	}
	return strconv.ParseInt(r.URL.Query().Get("era"), 10, 64)
}

// changes returns what a balancer lacks whose copy is complete up to a revision of an era:
// all items if it is another era than here.
func (c *control) changes(after, era int64) *peer.Changes {
	if !c.replica.Loaded() {
		return nil
	}
	here := c.replica.Position()
	ch := &peer.Changes{Era: here.Era, Position: here.Number, Age: c.replica.Age(c.now())}
	items, ok := c.replica.Since(after)
	if !ok || after == 0 || era != anyEra && era != here.Era {
		items, ch.Full = c.replica.All(), true
	}
	b, err := c.packer.Pack(ch.Full, items, here.At(c.replica.LastChange()))
	if err != nil {
		c.log.Error("control: changes", zap.Error(err))
		return nil
	}
	ch.Packed = b
	return ch
}

// fetchChanges takes what this balancer lacks from another one, whose copy is of an era
// and which knows all changes after the revision history.
func (c *control) fetchChanges(ctx context.Context, from netip.AddrPort, era, history int64) {
	if c.fetchBusy {
		return
	}
	c.fetchBusy = true
	after := c.replica.Position().At(c.replica.After(era, history))
	asked := c.now()
	go func() {
		ch, err := c.fetchFromPeer(ctx, from, after)
		c.post(func() {
			c.fetchBusy = false
			c.fetched(ch, asked, from, err)
		})
	}()
}

func (c *control) fetchFromPeer(ctx context.Context, from netip.AddrPort, after revision.Revision) (*peer.Changes, error) {
	url := "http://" + from.String() + changesPath + "?after=" + strconv.FormatInt(after.Number, 10) + "&era=" + strconv.FormatInt(after.Era, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "changes from %s", from)
	}
	resp, err := c.fetch.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "changes")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxChanges))
	if err != nil {
		return nil, errors.Wrapf(err, "changes from %s", from)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("changes from %s: status %d", from, resp.StatusCode)
	}
	ch := &peer.Changes{}
	return ch, peer.Decode(b, ch)
}

func (c *control) fetched(ch *peer.Changes, asked time.Duration, from netip.AddrPort, err error) {
	if err != nil {
		c.edge.counts.fetchFailures.Add(1)
		c.log.Warn("changes not fetched", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	items, err := peer.Unpack(ch.Packed)
	if err != nil {
		c.edge.counts.fetchFailures.Add(1)
		c.log.Error("changes not usable", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	proven := asked - ch.Age
	if ch.Full {
		c.applyCopy(items, ch.At(), proven, from.String())
		return
	}
	c.applyChanges(c.replica.Merge(items, ch.At(), proven), from.String(), asked)
}

// fetchIfOld asks other balancers in turn while nothing is known at all, or the
// copy gets old and this balancer's own reads do not help.
//
// Failure: the store turns a balancer away before it could register. It shows as
// a balancer that no peer knows, hears no heartbeat and keeps its first catalogue
// for ever. Its seeds and those it knows by an old listing can tell it more.
func (c *control) fetchIfOld(ctx context.Context, now time.Duration) {
	pause := askTicks
	if c.replica.Loaded() {
		pause = askOldTicks
	}
	if c.ticks < seedTick || c.ticks%pause != 0 {
		return
	}
	if c.replica.Loaded() && (c.replica.Age(now) < oldCopy || c.reader.Succeeding()) {
		return
	}
	if !c.replica.Loaded() && c.first.HasSources() && !c.first.MayList(now) {
		return // these know more than the seeds, which may start themselves
	}
	others := slices.Concat(c.edge.boot.Seeds, c.fleet.Near(), c.fleet.Far())
	others = slices.DeleteFunc(others, func(a netip.AddrPort) bool { return a == c.edge.boot.Control })
	if len(others) == 0 {
		return
	}
	c.askTurn++
	c.fetchChanges(ctx, others[c.askTurn%len(others)], c.replica.Position().Era, unknownHistory)
}

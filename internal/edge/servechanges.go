package edge

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/stall"
)

const (
	// changesPath is the path at which a balancer serves changes to others.
	changesPath = "/changes"
	// maxCopiesNarrow and maxCopiesWide are the numbers of full copies that a balancer
	// sends at once over a slow and over a fast link. Further requests wait, as when all
	// balancers of a data centre start at once. With 3,000 targets a copy has 57 KB,
	// which takes 0.05 s at 10 Mbit/s. If all were sent at once, all would arrive late.
	maxCopiesNarrow = 2
	maxCopiesWide   = 16
)

const (
	// memoryShare is the divisor of the memory limit that gives the share for changes kept for
	// peers, and that for answers to them.
	memoryShare = 16
	// maxLogBytes bounds the changes that are kept, below the limits of an answer.
	maxLogBytes = 8 << 20
)

// logBytes returns the size of the changes to keep for peers on a VM.
func logBytes(memoryMB int) int { return min(max(memoryMB, 1)<<20/memoryShare, maxLogBytes) }

// maxAnswerBytes returns the size of the answers that may be on their way to peers at once.
func maxAnswerBytes(memoryMB int) int64 { return int64(max(memoryMB, 1)<<20) / memoryShare }

// serve starts the server for balancers that lag behind.
//
// Guards against a balancer that loses power while it receives a full copy. Its slot
// would stay occupied for minutes, until the kernel ends the connection, and this source
// would hand out no other copies. The client gives up after fetchTimeout without a byte.
func (c *control) serve() error {
	ln, err := c.edge.listen("tcp4", c.edge.boot.Control.String())
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

// serveChanges handles requests for changes. A request that has to be answered with a full
// copy waits for a slot first. It runs on the server's goroutines.
func (c *control) serveChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	era, err := parseEra(r)
	if err != nil {
		http.Error(w, "era: "+err.Error(), http.StatusBadRequest)
		return
	}
	if after != 0 {
		ch, err := c.requestOwnChanges(r.Context(), after, era, false)
		if !errors.Is(err, errNeedsCopy) {
			if err == nil {
				c.writeChanges(w, ch)
			}
			return
		}
	}
	if err := c.acquireCopySlot(r.Context()); err != nil {
		c.edge.counts.copiesRefused.Add(1)
		c.log.Info("copy refused", zap.String("to", r.RemoteAddr), zap.String("reason", err.Error()))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-c.copySlots }()
	ch, err := c.requestOwnChanges(r.Context(), after, era, true)
	if err != nil {
		return
	}
	if ch != nil && ch.Full {
		c.edge.counts.copiesSent.Add(1)
	}
	c.writeChanges(w, ch)
}

// requestOwnChanges returns the result of changes, which runs on the control goroutine, or an
// error if ctx ends first. It may be called from any goroutine.
func (c *control) requestOwnChanges(ctx context.Context, after, era int64, mayCopy bool) (*peer.Changes, error) {
	type result struct {
		changes *peer.Changes
		err     error
	}
	answer := make(chan result, 1)
	c.post(func() {
		ch, err := c.changes(after, era, mayCopy)
		answer <- result{ch, err}
	})
	select {
	case res := <-answer:
		return res.changes, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// errNeedsCopy is returned by changes if only a full copy answers a request.
var errNeedsCopy = errors.New("a full copy is needed")

// Reasons for which a request for a full copy is refused.
var (
	errNoCopy         = errors.New("no copy here yet")
	errTooManyWaiting = errors.New("too many others wait")
)

// acquireCopySlot waits until this balancer has a replica and may send another full copy.
// It returns an error after copyWait. It may be called from any goroutine.
func (c *control) acquireCopySlot(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, copyWait)
	defer stop()
	select {
	case <-c.edge.packets.loaded:
	case <-ctx.Done():
		return errNoCopy
	}
	select {
	case c.copySlots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errTooManyWaiting
	}
}

// maxCopies returns the number of full copies that a balancer sends at once.
func maxCopies(m peer.Member) int {
	if m.Wide {
		return maxCopiesWide
	}
	return maxCopiesNarrow
}

// writeChanges sends an answer unless too much is on its way already, as to peers that read
// slowly. It runs on the server's goroutines.
func (c *control) writeChanges(w http.ResponseWriter, ch *peer.Changes) {
	if ch == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size := int64(len(ch.Packed))
	defer c.answerBytes.Add(-size)
	if sum := c.answerBytes.Add(size); sum > size && sum > maxAnswerBytes(c.edge.boot.MemoryMB) {
		c.edge.counts.answersRefused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b, err := peer.Encode(ch)
	if err != nil {
		c.log.Error("control: changes not encoded", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	out := stall.NewWriter(w, http.NewResponseController(w).SetWriteDeadline, fetchTimeout)
	if _, err := out.Write(b); err != nil {
		c.log.Warn("control: changes not delivered", zap.Error(err))
	}
}

// anyEra stands for the era of a balancer that does not report one.
const anyEra = -1

// parseEra returns the era in a balancer's request.
func parseEra(r *http.Request) (int64, error) {
	if !r.URL.Query().Has("era") {
		return anyEra, nil
	}
	return strconv.ParseInt(r.URL.Query().Get("era"), 10, 64)
}

// changes returns the changes after a revision of an era. It returns all items if the
// revision is 0, not all changes after it are known, or the era differs from this
// replica's, and nil if there is no replica yet. If mayCopy is false, it returns
// errNeedsCopy instead of all items.
//
// Many balancers may lag behind this one's history at once, as after the store has compacted
// its own. Copies sent to them without a slot would share a slow link with those of starting
// balancers, and all would arrive late.
func (c *control) changes(after, era int64, mayCopy bool) (*peer.Changes, error) {
	if !c.replica.Loaded() {
		return nil, nil
	}
	here := c.replica.Position()
	ch := &peer.Changes{Era: here.Era, Position: here.Number, Age: c.replica.Age(c.now())}
	items, ok := c.replica.Since(after)
	if !ok || after == 0 || era != anyEra && era != here.Era {
		if !mayCopy {
			return nil, errNeedsCopy
		}
		items, ch.Full = c.replica.All(), true
	}
	b, err := c.packer.Pack(ch.Full, items, here.At(c.replica.LastChange()))
	if err != nil {
		c.log.Error("control: changes not encoded", zap.Error(err))
		return nil, nil
	}
	ch.Packed = b
	return ch, nil
}

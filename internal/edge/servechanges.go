package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/peer"
)

const (
	// changesPath is where a balancer asks another one for what it lacks.
	changesPath = "/changes"
	// fullNarrow and fullWide are how many balancers at once get a full copy over
	// a narrow and a wide link; the others wait in line, as all of a data centre do
	// when they start at once. With 3,000 targets it has 57 KB, 0.05 s of a link of 10
	// Mbit/s: copies that are sent side by side would all arrive last.
	fullNarrow = 2
	fullWide   = 16
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

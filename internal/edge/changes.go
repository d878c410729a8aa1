package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/hedge"
	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/revision"
	"rosedale.dev/rosedale/internal/stall"
)

const (
	// fetchTimeout bounds the time until another balancer begins to answer a request for
	// changes, and the time without any byte of the answer.
	fetchTimeout = time.Second
	// dialTimeout bounds connecting to another balancer. A VM without power does not
	// answer, and the kernel retransmits a lost SYN only after a second.
	dialTimeout = 250 * time.Millisecond
	// maxChanges bounds the size of an answer, in bytes.
	maxChanges = 16 << 20
)

func newFetchClient() *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{DialContext: d.DialContext, DisableCompression: true}
	hedge.LimitIdle(t)
	return &http.Client{Transport: t}
}

// requestChanges requests the changes after a revision from another balancer. progressed is
// called when parts of the answer arrive.
func (c *control) requestChanges(ctx context.Context, from netip.AddrPort, after revision.Revision, progressed func()) (*peer.Changes, error) {
	url := "http://" + from.String() + changesPath + "?after=" + strconv.FormatInt(after.Number, 10) + "&era=" + strconv.FormatInt(after.Era, 10)
	ctx, timeout := stall.WithTimeout(ctx, fetchTimeout)
	defer timeout.Stop()
	ctx, trace := hedge.WithTrace(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "changes from %s", from)
	}
	resp, err := c.fetch.Do(req)
	if err != nil {
		return nil, errors.Wrap(trace.Wrap(fetchCause(timeout, err)), "changes")
	}
	defer func() { _ = resp.Body.Close() }()
	body := timeout.NewReader(resp.Body, fetchTimeout, 0)
	body.Progress = func(int) { progressed() }
	b, err := io.ReadAll(io.LimitReader(body, maxChanges+1))
	if err != nil {
		return nil, errors.Wrapf(trace.Wrap(fetchCause(timeout, err)), "changes from %s: after %d bytes", from, len(b))
	}
	if len(b) > maxChanges {
		return nil, errors.Wrapf(peer.ErrTooLarge, "changes from %s: more than %d bytes", from, maxChanges)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("changes from %s: status %d", from, resp.StatusCode)
	}
	ch := &peer.Changes{}
	return ch, peer.Decode(b, ch)
}

// fetchCause returns stall.ErrTimeout if that ended a request, and err otherwise.
func fetchCause(timeout *stall.Timeout, err error) error {
	if timeout.Ended() {
		return stall.ErrTimeout
	}
	return err
}

// noteTooLarge makes the next request ask for a full copy if an answer was too large. If that
// was a copy, no peer is asked until the store has been read: every copy is as large.
func (c *control) noteTooLarge(err error) {
	if errors.Is(err, peer.ErrTooLarge) {
		c.edge.counts.changesTooLarge.Add(1)
		c.copyTooLarge = c.wantsCopy || !c.replica.Loaded()
		c.wantsCopy = true
	}
}

// handleFetched applies an answer to a request for changes. It reports whether it was one.
func (c *control) handleFetched(ch *peer.Changes, requestedAt time.Duration, from netip.AddrPort, err error) bool {
	if err != nil {
		c.edge.counts.fetchFailures.Add(1)
		c.noteTooLarge(err)
		c.log.Warn("changes not fetched", zap.Stringer("peer", from), zap.Duration("after", c.now()-requestedAt), connectionField(err), zap.Error(err))
		return false
	}
	items, err := peer.Unpack(ch.Packed)
	if err != nil {
		c.edge.counts.fetchFailures.Add(1)
		c.noteTooLarge(err)
		c.log.Error("changes could not be unpacked", zap.Stringer("peer", from), zap.Error(err))
		return false
	}
	c.wantsCopy, c.copyTooLarge = false, false
	proven := requestedAt - ch.Age
	if ch.Full {
		c.applyCopy(items, ch.Revision(), proven, from.String())
	} else {
		c.applyChanges(c.replica.Merge(items, ch.Revision(), proven), from.String(), requestedAt)
	}
	c.endOutdatedRead()
	return true
}

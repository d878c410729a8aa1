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

	"rosedale.dev/rosedale/internal/hedge"
	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/revision"
)

const (
	// fetchTimeout bounds a request for changes from another balancer.
	fetchTimeout = time.Second
	// dialTimeout bounds connecting to another balancer. A VM without power does not
	// answer, and the kernel retransmits a lost SYN only after a second.
	dialTimeout = 250 * time.Millisecond
	// maxChanges bounds the size of an answer, in bytes.
	maxChanges = 16 << 20
	// fetchTicks is the interval between requests to other balancers while there is no
	// replica yet, in ticks.
	fetchTicks = 2
	// fetchOldTicks is that interval while the replica is old. It is longer because all
	// balancers send requests during an outage of the store.
	fetchOldTicks = 6
	// fetchAge is the age of the replica from which on changes are requested from other
	// balancers. By then the first balancer in rank has taken over reading.
	fetchAge = 1800 * time.Millisecond
	// seedTick is the tick from which on a starting balancer asks its seeds. By then the
	// store has answered if it can. Asking both costs 2 ms of CPU time.
	seedTick = 2
	// unknownHistory stands for the history of a balancer that has not reported it.
	unknownHistory = math.MaxInt64
)

func newFetchClient() *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Timeout:   fetchTimeout,
		Transport: &http.Transport{DialContext: d.DialContext, DisableCompression: true, IdleConnTimeout: time.Minute},
	}
}

// fetchChanges fetches the changes that this balancer lacks from another one. The other's
// replica is of the given era and knows all changes after the revision history.
func (c *control) fetchChanges(ctx context.Context, from netip.AddrPort, era, history int64) {
	if c.fetchBusy {
		return
	}
	c.fetchBusy, c.fetchFrom, c.fetchStarted = true, from, c.now()
	after := c.replica.Position().At(c.replica.After(era, history))
	requestedAt := c.now()
	go func() {
		ch, err := c.requestChanges(ctx, from, after)
		c.post(func() {
			c.fetchBusy = false
			c.handleFetched(ch, requestedAt, from, err)
		})
	}()
}

func (c *control) requestChanges(ctx context.Context, from netip.AddrPort, after revision.Revision) (*peer.Changes, error) {
	url := "http://" + from.String() + changesPath + "?after=" + strconv.FormatInt(after.Number, 10) + "&era=" + strconv.FormatInt(after.Era, 10)
	ctx, trace := hedge.WithTrace(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "changes from %s", from)
	}
	resp, err := c.fetch.Do(req)
	if err != nil {
		return nil, errors.Wrap(trace.Wrap(err), "changes")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxChanges))
	if err != nil {
		return nil, errors.Wrapf(trace.Wrap(err), "changes from %s", from)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("changes from %s: status %d", from, resp.StatusCode)
	}
	ch := &peer.Changes{}
	return ch, peer.Decode(b, ch)
}

func (c *control) handleFetched(ch *peer.Changes, requestedAt time.Duration, from netip.AddrPort, err error) {
	if err != nil {
		c.edge.counts.fetchFailures.Add(1)
		c.log.Warn("changes not fetched", zap.Stringer("peer", from), zap.Duration("after", c.now()-requestedAt), connectionField(err), zap.Error(err))
		return
	}
	items, err := peer.Unpack(ch.Packed)
	if err != nil {
		c.edge.counts.fetchFailures.Add(1)
		c.log.Error("changes could not be unpacked", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	proven := requestedAt - ch.Age
	if ch.Full {
		c.applyCopy(items, ch.Revision(), proven, from.String())
		return
	}
	c.applyChanges(c.replica.Merge(items, ch.Revision(), proven), from.String(), requestedAt)
}

// fetchIfOld requests changes from other balancers in turn while there is no replica, or
// while the replica is old and this balancer does not itself read the store successfully.
//
// Guards against a store that rejects a balancer before it has registered. As its peers
// do not know it, it gets no heartbeats and would keep its first catalogue forever. Its
// seeds and the balancers known from an old listing can still provide updates.
func (c *control) fetchIfOld(ctx context.Context, now time.Duration) {
	pause := fetchTicks
	if c.replica.Loaded() {
		pause = fetchOldTicks
	}
	if c.ticks < seedTick || c.ticks%pause != 0 {
		return
	}
	if c.replica.Loaded() && (c.replica.Age(now) < fetchAge || c.reader.Succeeding()) {
		return
	}
	if !c.replica.Loaded() && c.firstCopy.HasSources() && !c.firstCopy.MayList(now) {
		return // sources are preferred, as the seeds may be starting too
	}
	others := slices.Concat(c.edge.boot.Seeds, c.fleet.Near(), c.fleet.Far())
	others = slices.DeleteFunc(others, func(a netip.AddrPort) bool { return a == c.edge.boot.Control })
	if len(others) == 0 {
		return
	}
	c.fetchTurn++
	c.fetchChanges(ctx, others[c.fetchTurn%len(others)], c.replica.Position().Era, unknownHistory)
}

package edge

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/replica"
)

const (
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

// source is a balancer to ask for changes. Its replica is of the given era and knows all
// changes after the revision history.
type source struct {
	addr         netip.AddrPort
	era, history int64
}

func sourceOf(h peer.Heartbeat) source { return source{h.Control, h.Era, h.History} }

// sourcesAhead returns the active peers that have changes which this replica lacks, those of
// this data centre first.
func (c *control) sourcesAhead(now time.Duration) []source {
	position := c.replica.Position()
	var ahead []string
	for name, p := range c.peers {
		if now-p.lastReceived <= peerSilent && position.Before(p.last.Revision().At(p.last.LastChange)) {
			ahead = append(ahead, name)
		}
	}
	slices.SortFunc(ahead, func(a, b string) int { return cmp.Or(c.distance(a)-c.distance(b), cmp.Compare(a, b)) })
	var out []source
	for _, name := range ahead {
		out = append(out, sourceOf(c.peers[name].last))
	}
	return out
}

// distance returns 0 for a peer of this data centre, and 1 for others.
func (c *control) distance(name string) int {
	if c.peers[name].last.DataCenter == c.edge.boot.DataCenter {
		return 0
	}
	return 1
}

// catchUp asks a peer that has changes which this replica lacks, unless this balancer's own
// read will bring them.
func (c *control) catchUp(ctx context.Context, now time.Duration) {
	if c.lag.For(now) > 0 && !c.reader.Succeeding(now) && c.mayFetch(now) {
		c.fetchFromAny(ctx, now, c.sourcesAhead(now))
	}
}

// mayFetch reports whether a request for changes may begin now.
func (c *control) mayFetch(now time.Duration) bool {
	if c.copyTooLarge {
		return false
	}
	for id, r := range c.underWay {
		c.fetches.Progressed(id, time.Duration(r.progress.Load()))
	}
	return c.fetches.MayBegin(now)
}

// peerRequest is a request for changes under way.
type peerRequest struct {
	cancel   context.CancelFunc
	progress atomic.Int64 // when a part of the answer arrived last, as time.Duration
}

// fetchFromAny asks one of the sources, given in order of preference, for changes, unless a
// request under way may still be answered. If one has not been answered in time, the idle
// connections are closed, as they may be as silent.
func (c *control) fetchFromAny(ctx context.Context, now time.Duration, sources []source) {
	if !c.mayFetch(now) {
		return
	}
	late := c.fetches.OutOfPatience(now)
	peers := make([]netip.AddrPort, len(sources))
	for i, s := range sources {
		peers[i] = s.addr
	}
	f, ok := c.fetches.Begin(now, peers)
	if !ok {
		return
	}
	if late {
		c.edge.counts.fetchHedges.Add(1)
		c.fetch.CloseIdleConnections()
	}
	from := sources[slices.Index(peers, f.From)]
	after := c.replica.Position().At(c.replica.After(from.era, from.history))
	if c.wantsCopy {
		after.Number = 0
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &peerRequest{cancel: cancel}
	c.underWay[f.ID] = r
	go func() {
		ch, err := c.requestChanges(ctx, f.From, after, func() { r.progress.Store(int64(c.now())) })
		c.post(func() { c.fetched(f, ch, err) })
	}()
}

// fetched handles the end of a request for changes. Once the replica is no longer behind, the
// other requests are cancelled; if the request failed, the next peer is asked at once.
func (c *control) fetched(f replica.Fetch, ch *peer.Changes, err error) {
	now := c.now()
	c.underWay[f.ID].cancel()
	delete(c.underWay, f.ID)
	if errors.Is(err, context.Canceled) {
		c.fetches.Ended(now, f, true)
		return
	}
	ok := c.handleFetched(ch, f.Started, f.From, err)
	c.fetches.Ended(now, f, ok)
	c.reportLag(c.now())
	if !ok {
		c.fetch.CloseIdleConnections()
		c.catchUp(context.Background(), now)
		return
	}
	if c.lag.For(now) == 0 {
		for _, r := range c.underWay {
			r.cancel()
		}
	}
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
	if c.replica.Loaded() && (c.replica.Age(now) < fetchAge || c.reader.Succeeding(now)) {
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
	c.oldTurn++
	c.fetchFromAny(ctx, now, []source{{others[c.oldTurn%len(others)], c.replica.Position().Era, unknownHistory}})
}

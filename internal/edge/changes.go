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
	// unknownHistory stands for the history of a balancer that has not told it.
	unknownHistory = math.MaxInt64
)

func newFetchClient() *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Timeout:   fetchTimeout,
		Transport: &http.Transport{DialContext: d.DialContext, DisableCompression: true, IdleConnTimeout: time.Minute},
	}
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
		c.applyCopy(items, ch.Revision(), proven, from.String())
		return
	}
	c.applyChanges(c.replica.Merge(items, ch.Revision(), proven), from.String(), asked)
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

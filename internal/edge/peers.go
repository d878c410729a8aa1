package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/replica"
)

const (
	// peerSilent is how long a balancer that sends no heartbeat counts as there.
	peerSilent = time.Second
	// peerForgotten is how long it is remembered for the log.
	peerForgotten = time.Minute
	// loadMemory is how long the loads of a silent balancer count.
	loadMemory = time.Second
	// farTicks and wideTicks pace heartbeats to other data centres, and within
	// a large data centre, in ticks.
	farTicks  = 3
	wideTicks = 2
	// alarmPause takes suspicions together: 32 targets that crash at once would
	// else be 32 datagrams from each balancer to each other.
	alarmPause = tickInterval / 2
	// fetchTimeout bounds fetching changes from another balancer.
	fetchTimeout = time.Second
	changesPath  = "/changes"
	// maxChanges bounds an answer in bytes.
	maxChanges = 16 << 20
)

// serve answers other balancers that lag.
func (c *control) serve() error {
	ln, err := net.Listen("tcp4", c.edge.boot.Control.String())
	if err != nil {
		return errors.Wrapf(err, "control: listen on %s", c.edge.boot.Control)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(changesPath, c.serveChanges)
	c.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
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
	answer := make(chan *peer.Changes, 1)
	c.post(func() { answer <- c.changes(after) })
	select {
	case ch := <-answer:
		c.writeChanges(w, ch)
	case <-r.Context().Done():
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

func (c *control) changes(after int64) *peer.Changes {
	if !c.replica.Loaded() {
		return nil
	}
	ch := &peer.Changes{Position: c.replica.Position(), Age: c.replica.Age(c.now())}
	items, ok := c.replica.Since(after)
	if !ok || after == 0 {
		items, ch.Full = c.replica.All(), true
	}
	b, err := c.packer.Pack(ch.Full, items, c.replica.LastChange())
	if err != nil {
		c.log.Error("control: changes", zap.Error(err))
		return nil
	}
	ch.Packed = b
	return ch
}

// fetchChanges takes what this balancer lacks from another one.
func (c *control) fetchChanges(ctx context.Context, from netip.AddrPort) {
	if c.fetchBusy {
		return
	}
	c.fetchBusy = true
	after := int64(0)
	if c.replica.Loaded() {
		after = c.replica.Position()
	}
	asked := c.now()
	go func() {
		ch, err := c.fetchFromPeer(ctx, from, after)
		c.post(func() { c.fetched(ch, asked, from, err) })
	}()
}

func (c *control) fetchFromPeer(ctx context.Context, from netip.AddrPort, after int64) (*peer.Changes, error) {
	url := "http://" + from.String() + changesPath + "?after=" + strconv.FormatInt(after, 10)
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
	c.fetchBusy = false
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
		c.apply(c.replica.Replace(items, ch.Position, proven), from.String())
		c.stopFirstRead()
		return
	}
	c.apply(c.replica.Apply(items, ch.Position, proven), from.String())
}

// fetchIfUnloaded asks the seeds in turn while nothing is known at all, as the
// store may turn this balancer away.
func (c *control) fetchIfUnloaded(ctx context.Context) {
	seeds := c.edge.boot.Seeds
	if c.replica.Loaded() || len(seeds) == 0 {
		return
	}
	c.seedTurn++
	if s := seeds[c.seedTurn%len(seeds)]; s != c.edge.boot.Control {
		c.fetchChanges(ctx, s)
	}
}

// receive reads heartbeats until the socket is closed.
func (c *control) receive() {
	buf := make([]byte, peer.MaxMessage+1)
	for {
		n, _, err := c.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.edge.counts.readErrors.Add(1)
			continue
		}
		var h peer.Heartbeat
		if err := peer.Decode(buf[:n], &h); err != nil {
			c.edge.counts.badHeartbeats.Add(1)
			continue
		}
		c.offer(func() { c.heard(context.Background(), h) })
	}
}

func (c *control) heard(ctx context.Context, h peer.Heartbeat) {
	now := c.now()
	n := c.peers[h.From]
	if n == nil || now-n.heard > peerSilent {
		c.log.Info("balancer heard", zap.String("peer", h.From), zap.Int64("position", h.Position), zap.Int64("version", h.Version))
	}
	if n == nil {
		n = &neighbour{}
		c.peers[h.From] = n
	}
	n.last, n.heard = h, now
	if h.Leaving {
		delete(c.peers, h.From)
	}
	if h.Position > 0 && !c.replica.Confirm(h.Position, h.LastChange, now-h.Age) && !c.reader.Reading() {
		c.fetchChanges(ctx, h.Control)
	}
	c.found(now, h)
}

// found takes over findings about targets.
func (c *control) found(now time.Duration, h peer.Heartbeat) {
	if len(h.Suspected) == 0 {
		return
	}
	c.edge.mu.Lock()
	defer c.edge.mu.Unlock()
	for _, id := range h.Suspected {
		if c.edge.forward.PeerSuspects(now, direct.TargetID(id)) {
			c.lookSoon()
			c.log.Info("target suspected by a peer", zap.String("target", targetName(direct.TargetID(id))), zap.String("peer", h.From))
		}
	}
}

// served reports whether a balancer that comes before this one reads the store.
func (c *control) served(now time.Duration) bool {
	for name, n := range c.peers {
		if now-n.heard > peerForgotten {
			delete(c.peers, name)
			continue
		}
		if now-n.heard <= peerSilent && n.last.Reading && c.fleet.Before(name) {
			return true
		}
	}
	return false
}

// peerLoads sums what the flows of the other balancers hold.
func (c *control) peerLoads(now time.Duration) map[direct.TargetID]direct.Load {
	out := map[direct.TargetID]direct.Load{}
	for _, n := range c.peers {
		if now-n.heard > loadMemory {
			continue
		}
		for _, u := range n.last.Loads {
			l := out[direct.TargetID(u.ID)]
			l.Flows += u.Flows
			l.Busy += u.Busy
			out[direct.TargetID(u.ID)] = l
		}
	}
	return out
}

// heartbeat tells others what this balancer knows.
func (c *control) heartbeat(now time.Duration) {
	c.tell(now, c.audience())
}

// alarmIfDue tells new suspicions at once to all balancers of this data centre, and to
// those of others that speak for theirs.
//
// Gain: without it each of 24 balancers of a data centre lost a request on each
// of its flows to find out for itself; 450 of 3,860 requests were late in the 2 s
// in which 20 of 150 targets fell silent.
func (c *control) alarmIfDue(now time.Duration) {
	if !c.alarmDue || now-c.alarmed < alarmPause {
		return
	}
	c.alarmDue, c.alarmed = false, now
	c.tell(now, slices.Concat(c.fleet.Near(), c.fleet.Speakers()))
}

func (c *control) tell(now time.Duration, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	b, err := peer.Encode(c.state(now))
	if err != nil {
		c.log.Error("heartbeat", zap.Error(err))
		return
	}
	for _, a := range to {
		if _, err := c.udp.WriteToUDPAddrPort(b, a); err != nil {
			c.edge.counts.sendErrors.Add(1)
		}
		c.edge.counts.heartbeatsSent.Add(1)
	}
}

// state returns what a heartbeat says.
func (c *control) state(now time.Duration) peer.Heartbeat {
	h := peer.Heartbeat{
		From:       c.edge.boot.VM,
		DataCenter: c.edge.boot.DataCenter,
		Control:    c.edge.boot.Control,
		Version:    c.version,
		Leaving:    c.leaving,
	}
	if c.replica.Loaded() {
		h.Position = c.replica.Position()
		h.LastChange = c.replica.LastChange()
		h.Age = c.replica.Age(now)
		h.Reading = c.reader.Reading() && c.readOK && now-c.readDone < peerSilent
	}
	e := c.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.fleet.Small() {
		h.Loads = peer.Uses(e.forward.Loads(), peer.MaxUses)
	}
	for _, id := range e.forward.Suspected() {
		if len(h.Suspected) == peer.MaxSuspected {
			break
		}
		h.Suspected = append(h.Suspected, uint64(id))
	}
	return h
}

// audience returns who gets a heartbeat in this tick.
func (c *control) audience() []netip.AddrPort {
	if c.fleet.Small() {
		if c.ticks%farTicks == 0 {
			return slices.Concat(c.fleet.Near(), c.fleet.Far())
		}
		return c.fleet.Near()
	}
	switch {
	case c.ticks%wideTicks != 0:
		return nil
	case c.reader.Reading():
		return slices.Concat(c.fleet.Near(), c.fleet.Speakers())
	case c.fleet.Rank() == 0:
		return c.fleet.Near()
	}
	return nil
}

// applyMember takes another balancer's registration.
func (c *control) applyMember(i replica.Item) {
	if i.Deleted {
		c.fleet.Remove(i.Key)
		return
	}
	var m peer.Member
	if err := peer.Decode(i.Value, &m); err != nil {
		c.edge.counts.badItems.Add(1)
		c.log.Error("member's registration is not usable", zap.String("member", i.Key), zap.Error(err))
		return
	}
	c.fleet.Put(i.Key, m)
}

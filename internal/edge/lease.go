package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/platform"
)

const (
	// leaseTime is how long a registration outlives its balancer. Heartbeats
	// show sooner who is there; a long lease costs few calls.
	leaseTime = 60 * time.Second
	// leaseRenewal leaves two tries before a lease runs out.
	leaseRenewal = 20 * time.Second
	// leaseRetry is the pause after a failed call.
	leaseRetry = 2 * time.Second
	// rankPause is the pause between two balancers of a data centre that
	// register again: 55 of them, twice the calls, within 1.1 s.
	rankPause = 20 * time.Millisecond
)

// lease keeps this balancer registered in the store.
type lease struct {
	id   int64
	due  time.Duration
	busy bool // a call is under way
	lost bool // the registration was taken away meanwhile
}

// renewIfDue registers this balancer or renews its lease.
func (l *lease) renewIfDue(ctx context.Context, c *control, now time.Duration) {
	if l.busy || now < l.due || c.leaving {
		return
	}
	if !c.replica.Loaded() {
		return
	}
	l.busy = true
	id := l.id
	if m, ok := c.fleet.Registered(c.edge.registration()); ok && id == 0 && m.Control == c.edge.boot.Control {
		id = m.Lease
	}
	go func() {
		got, err := c.register(ctx, id)
		c.post(func() { l.renewed(c, got, err) })
	}()
}

// revoked notes that the store no longer has the registration. The lease may
// live on without it, so that a new one is due.
//
// Failure: an operator's mistake or an outage takes registrations away. It shows
// as a balancer that hears no heartbeat until its lease is due, 20 s later.
func (l *lease) revoked(c *control, now time.Duration) {
	c.log.Warn("registration was taken away", zap.Int64("lease", l.id))
	l.id = 0
	l.lost = l.busy
	l.due = now + time.Duration(c.fleet.Rank())*rankPause
}

// verify has this balancer register again if the store, back from an older copy, lacks
// the registration that its lease is for.
//
// Failure: the store loses a registration and its lease with what was written last. It
// shows like one that was taken away, but no change of the store tells of it: the copy may
// never have had it.
func (l *lease) verify(c *control, now time.Duration) {
	if l.id == 0 && !l.busy {
		return
	}
	if m, ok := c.fleet.Registered(c.edge.registration()); ok && l.id != 0 && m.Lease == l.id {
		return
	}
	l.revoked(c, now)
}

func (l *lease) renewed(c *control, id int64, err error) {
	l.busy = false
	l.id = id
	l.due = c.now() + leaseRenewal
	if err != nil {
		c.edge.counts.leaseFailures.Add(1)
		c.log.Warn("not registered", zap.Error(err))
		l.due = c.now() + leaseRetry
	}
	if l.lost {
		l.lost = false
		l.id = 0
		l.due = c.now()
	}
}

// register runs on a goroutine of its own. It returns the lease in force, or 0.
func (c *control) register(ctx context.Context, id int64) (int64, error) {
	if id != 0 {
		err := c.store.Keep(ctx, id)
		if err == nil || !errors.Is(err, platform.ErrNoLease) {
			return id, err
		}
	}
	id, err := c.store.Grant(ctx, leaseTime)
	if err != nil {
		return 0, err
	}
	m := c.edge.member()
	m.Lease = id
	value, err := peer.Encode(m)
	if err != nil {
		return 0, err
	}
	if err := c.store.Put(ctx, c.edge.registration(), value, id); err != nil {
		return 0, err
	}
	return id, nil
}

// member is how this balancer registers itself.
func (e *Edge) member() peer.Member {
	b := e.boot
	return peer.Member{VM: b.VM, DataCenter: b.DataCenter, Control: b.Control, Wide: b.LinkMbps >= wideLink}
}

// registration is the key of this balancer's registration.
func (e *Edge) registration() string { return platform.MemberPrefix + e.boot.VM }

// leave tells the other balancers that this one stops. Its registration stays
// until the lease ends: most stops are followed by a start, which goes on with
// it. It is for other goroutines.
func (c *control) leave() {
	c.post(func() {
		c.leaving = true
		c.heartbeat(c.now())
	})
}

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
	// leaseTime is how long a registration outlives its balancer. Heartbeats detect a
	// lost balancer sooner, and a long lease needs few store calls.
	leaseTime = 60 * time.Second
	// leaseRenewal is the renewal interval. It leaves 40 s for further attempts before
	// the lease expires.
	leaseRenewal = 20 * time.Second
	// leaseRetry is the pause after a failed call.
	leaseRetry = 2 * time.Second
	// reregisterStep is the delay per rank with which the balancers of a data centre
	// register again. It spreads the two calls each of 55 balancers over 1.1 s.
	reregisterStep = 20 * time.Millisecond
)

// lease keeps this balancer registered in the store.
type lease struct {
	id   int64         // lease ID in the store, 0 if there is none
	due  time.Duration // when the next call is due
	busy bool          // a call is in progress
	lost bool          // the registration was removed during the call
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
	// After a restart the lease of the previous process is renewed.
	if m, ok := c.fleet.Registered(c.edge.registration()); ok && id == 0 && m.Control == c.edge.boot.Control {
		id = m.Lease
	}
	go func() {
		got, err := c.register(ctx, id)
		c.post(func() { l.renewed(c, got, err) })
	}()
}

// revoked handles the removal of this balancer's registration from the store. The lease
// may still be alive, so a new registration with a new lease is due.
//
// Guards against a registration that is removed by an operator's mistake or an outage.
// Without this, the balancer would get no heartbeats until its lease is due, 20 s later.
func (l *lease) revoked(c *control, now time.Duration) {
	c.log.Warn("registration was taken away", zap.Int64("lease", l.id))
	l.id = 0
	l.lost = l.busy
	l.due = now + time.Duration(c.fleet.Rank())*reregisterStep
}

// verify makes this balancer register again if the store, after a restore from an older
// copy, lacks the registration for its lease.
//
// The store may lose a registration and its lease together with its last writes. No
// change reports that if this balancer's replica never contained the registration, and
// the balancer would get no heartbeats until its lease is due.
func (l *lease) verify(c *control, now time.Duration) {
	if l.id == 0 && !l.busy {
		return
	}
	if m, ok := c.fleet.Registered(c.edge.registration()); ok && l.id != 0 && m.Lease == l.id {
		return
	}
	l.revoked(c, now)
}

// renewed handles the result of register.
func (l *lease) renewed(c *control, id int64, err error) {
	l.busy = false
	l.id = id
	l.due = c.now() + leaseRenewal
	if err != nil {
		c.edge.counts.leaseFailures.Add(1)
		c.log.Warn("registration failed", connectionField(err), zap.Error(err))
		l.due = c.now() + leaseRetry
	}
	if l.lost {
		l.lost = false
		l.id = 0
		l.due = c.now()
	}
}

// register renews the lease id. If id is 0 or the store does not have the lease, it writes
// the registration with a new one. It returns the lease in force, or 0. It runs on its own
// goroutine.
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

// member returns the registration of this balancer.
func (e *Edge) member() peer.Member {
	b := e.boot
	return peer.Member{VM: b.VM, DataCenter: b.DataCenter, Control: b.Control, Wide: b.LinkMbps >= wideLink}
}

// registration returns the key of this balancer's registration.
func (e *Edge) registration() string { return platform.MemberPrefix + e.boot.VM }

// leave announces that this balancer stops, at once and in its further heartbeats. The
// registration stays until the lease expires, as most stops are followed by a start that
// reuses it. It may be called from any goroutine.
func (c *control) leave() {
	c.post(func() {
		c.leaving = true
		c.stopAnnouncements = stopAnnouncements
		c.stepBack.Stop()
		c.announceStopIfDue(c.now())
	})
}

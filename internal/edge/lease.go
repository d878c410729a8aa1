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
)

// lease keeps this balancer registered in the store.
type lease struct {
	id   int64
	due  time.Duration
	busy bool
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

func (l *lease) renewed(c *control, id int64, err error) {
	l.busy = false
	l.id = id
	l.due = c.now() + leaseRenewal
	if err != nil {
		c.edge.counts.leaseFailures.Add(1)
		c.log.Warn("not registered", zap.Error(err))
		l.due = c.now() + leaseRetry
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

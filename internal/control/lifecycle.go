package control

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/settings"
	"rosedale.dev/rosedale/internal/store"
	"rosedale.dev/rosedale/internal/wire"
)

const (
	// minStartTime is the minimum time after the start before a member serves, so that
	// it knows the other members before it decides on flows.
	minStartTime = 1500 * time.Millisecond
	// minLeaveTime is the minimum duration of a planned stop, so that its announcement
	// reaches all members and the fabric.
	minLeaveTime      = 1500 * time.Millisecond
	leavePollInterval = 100 * time.Millisecond
	// readinessDelay is the time between the announcement that this member serves and
	// its readiness, so that all members have it in their views first.
	readinessDelay = time.Second
)

// startServing ends the start when the catalogue is complete and minStartTime, in which
// peers can answer, has passed. A starting member does not serve until then.
func (l *Loop) startServing(now time.Duration) {
	if l.leaving || !l.catalogueComplete || now < minStartTime || l.group.Self().Status != wire.Starting {
		return
	}
	l.group.SetStatus(now, wire.Alive)
	l.servingAt = now
	l.log.Info("serving", zap.Uint64("index", l.catalogueState.Versions().High()))
}

// Ready reports whether the fabric may send packets to this balancer.
func (l *Loop) Ready(ctx context.Context) bool {
	ready := false
	err := l.Do(ctx, func(now time.Duration) { ready = l.isReady(now) })
	return err == nil && ready
}

func (l *Loop) isReady(now time.Duration) bool {
	return l.group.Self().Status == wire.Alive && now-l.servingAt >= readinessDelay
}

// Leave performs a planned stop: it announces the stop, hands over the flows that other
// balancers may not know, and keeps forwarding until the fabric sends no more packets or
// the maximum time of the settings has passed. As other balancers know the flows by then,
// none is interrupted.
func (l *Loop) Leave(ctx context.Context) {
	start := l.plane.Now()
	_ = l.Do(ctx, func(now time.Duration) {
		l.leaving = true
		l.group.SetStatus(now, wire.Leaving)
		l.updateReader(ctx)
	})
	l.log.Info("leaving")
	limit := start + time.Duration(l.config.Leave.Max)
	for now := start; now < limit && ctx.Err() == nil; now = l.plane.Now() {
		sleep(ctx, leavePollInterval)
		quiet := now - l.plane.LastFabric()
		if now-start >= minLeaveTime && quiet >= time.Duration(l.config.Leave.Quiet) {
			break
		}
	}
	_ = l.Do(ctx, func(now time.Duration) {
		l.group.SetStatus(now, wire.Left)
		l.send(ctx, now, l.group.Tick(now))
	})
	sleep(ctx, leavePollInterval)
	l.log.Info("left", zap.Duration("took", l.plane.Now()-start))
}

// refreshVMs regularly reads the platform's list of VMs and adds new VMs as seeds. The
// list is often outdated, so it is only used to add members; heartbeats determine which
// ones are alive. Only readers do this, as a member that one of them finds becomes known
// to all through updates.
func (l *Loop) refreshVMs(ctx context.Context) {
	prefix := store.VMPrefix(l.config.Store.Prefix)
	for ctx.Err() == nil {
		l.Count.StoreReads.Add(1)
		list, err := l.store.List(ctx, prefix, 0)
		if err != nil {
			l.Count.StoreErrors.Add(1)
		}
		for _, p := range list.Pairs {
			var m settings.Member
			if json.Unmarshal(p.Value, &m) != nil || m.Name == "" || !m.Control.IsValid() {
				continue
			}
			l.post(ctx, func(time.Duration) {
				l.group.AddSeed(wire.Record{Name: m.Name, DataCenter: m.DataCenter, Data: m.Data, Control: m.Control})
			})
		}
		sleep(ctx, jitter(time.Duration(l.config.Store.VMRefresh)))
	}
}

// controlAddr returns the control address of a member, from the settings if they list
// it and else from its record.
func (l *Loop) controlAddr(r wire.Record) netip.AddrPort {
	for _, m := range l.config.Members {
		if m.Name == r.Name {
			return m.Control
		}
	}
	return r.Control
}

// dataAddr returns the address at which a member receives packets, from the same sources.
func (l *Loop) dataAddr(r wire.Record) netip.AddrPort {
	for _, m := range l.config.Members {
		if m.Name == r.Name {
			return m.Data
		}
	}
	return r.Data
}

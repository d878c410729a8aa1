package control

import (
	"context"
	"time"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/health"
	"rosedale.dev/rosedale/internal/member"
	"rosedale.dev/rosedale/internal/rendezvous"
	"rosedale.dev/rosedale/internal/wire"
)

// checkersPerTarget is the number of balancers that check each target's health endpoint.
const checkersPerTarget = 2

// check is a target that this balancer checks.
type check struct {
	hash        uint32
	url         string
	lastStarted time.Duration // start of the last check
}

// checkTargets starts the checks that are due.
func (l *Loop) checkTargets(ctx context.Context, now time.Duration) {
	for _, c := range l.checks {
		if now-c.lastStarted >= health.Interval {
			c.lastStarted = now
			go l.runCheck(ctx, c.hash, c.url)
		}
	}
}

// assignChecks determines the targets that this balancer checks: those for which it is
// among the first checkersPerTarget in rendezvous order of the serving members in the
// target's data centre, so that checks do not depend on paths between data centres. If
// there is no such member, the members of the whole group are used.
func (l *Loop) assignChecks(services []*catalogue.Service) {
	old := l.checks
	l.checks = map[uint32]*check{}
	candidates := l.servingMembers()
	for _, s := range services {
		for _, t := range s.Targets {
			if t.Health == "" || !l.inGroup(t.DataCenter) {
				continue
			}
			hash := wire.TargetHash(s.Number, t.Address)
			if !candidates.isChecker(hash, t.DataCenter) {
				continue
			}
			c := &check{hash: hash, url: t.Health}
			if o := old[hash]; o != nil {
				c.lastStarted = o.lastStarted
			}
			l.checks[hash] = c
		}
	}
}

// checkerCandidates holds the hashes of the serving members of the group by data centre,
// those of the whole group under the empty name, and the index of this balancer in each
// list.
type checkerCandidates struct {
	hashes map[string][]uint64
	self   map[string]int
}

func (l *Loop) servingMembers() checkerCandidates {
	s := checkerCandidates{map[string][]uint64{}, map[string]int{}}
	for _, r := range l.group.Members() {
		own := r.Name == l.config.Name
		if !l.inGroup(r.DataCenter) || !own && !member.Serving(r) {
			continue
		}
		for _, list := range []string{r.DataCenter, ""} {
			if own {
				s.self[list] = len(s.hashes[list])
			}
			s.hashes[list] = append(s.hashes[list], rendezvous.Seed(r.Name))
		}
	}
	return s
}

// isChecker reports whether this balancer is one of a target's checkers.
func (s checkerCandidates) isChecker(hash uint32, dc string) bool {
	if len(s.hashes[dc]) == 0 {
		dc = ""
	}
	self, ok := s.self[dc]
	if !ok {
		return false
	}
	for _, i := range rendezvous.Order(nil, uint64(hash), s.hashes[dc], checkersPerTarget) {
		if i == self {
			return true
		}
	}
	return false
}

func (l *Loop) runCheck(ctx context.Context, hash uint32, url string) {
	l.Count.HealthChecks.Add(1)
	a, err := l.checker.Check(ctx, url)
	if err != nil {
		l.Count.HealthErrors.Add(1)
	}
	ok := err == nil && a.Healthy
	l.post(ctx, func(now time.Duration) {
		self := checkerID(l.config.Name)
		seq := uint32(time.Now().Unix())
		if l.health.Result(now, self, hash, ok, a.Load, seq) {
			l.rebuildView = true
			l.spreadHealth(ctx)
		}
	})
}

// spreadHealth sends changed findings to a few peers without waiting for a heartbeat.
func (l *Loop) spreadHealth(ctx context.Context) {
	dirty := l.health.TakeDirty()
	if len(dirty) == 0 {
		return
	}
	peers := l.reachable()
	const maxReceivers = 3
	for i := 0; i < len(peers) && i < maxReceivers; i++ {
		to := peers[int(l.plane.Now()/time.Millisecond+time.Duration(i))%len(peers)]
		l.sendTo(ctx, to, &wire.Message{Kind: wire.Gossip, From: l.config.Name, Health: dirty})
	}
}

// reportLoads passes the loads that health endpoints reported to the router.
func (l *Loop) reportLoads(now time.Duration) {
	if !l.config.Balance.Hints {
		return
	}
	for hash, id := range l.ids.byHash {
		if st := l.health.State(now, hash, l.isReachableChecker); st.Known {
			l.router.ReportLoad(st.At, id, st.Load)
		}
	}
}

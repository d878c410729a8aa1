package edge

import (
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
)

// logDecision logs a decision that may have to be explained to a caller: where a flow was
// opened, or why it was reset or a packet was dropped. Forwarded packets of open flows
// follow from these decisions and are only counted. A held opening is logged when it is
// released, with its wait.
func (e *Edge) logDecision(now time.Duration, s *direct.Segment, d direct.Decision, id direct.TargetID) {
	isFollowing := d.Verb == direct.Forward && (!d.SetCookie || !s.Flags.Has(direct.SYN))
	if isFollowing || d.Verb == direct.Hold {
		return
	}
	e.log.Info("flow",
		zap.Stringer("caller", s.Caller),
		zap.Stringer("address", s.Address),
		zap.Stringer("outcome", d.Reason),
		zap.Stringer("target", id),
		zap.Uint32("cookie", uint32(s.Cookie)),
		zap.Uint32("copy", retransmissions(s)),
		zap.Float64("load", d.Load),
		zap.Int64("version", d.Version),
		zap.Duration("waited", d.Waited),
		zap.Duration("age", now-time.Duration(e.proven.Load())))
}

// logOutliers logs each target that has started or stopped failing requests.
func (c *control) logOutliers(changes []direct.OutlierChange) {
	for _, o := range changes {
		outcome := "target answers well again"
		if o.Failing {
			outcome = "target fails requests"
		}
		c.log.Info(outcome, zap.Stringer("target", o.Target), zap.Float64("share", o.Share),
			zap.Float64("good", o.Own.Good), zap.Float64("bad", o.Own.Bad),
			zap.Float64("peers_good", o.Peers.Good), zap.Float64("peers_bad", o.Peers.Bad))
	}
}

// retransmissions returns how often an opening packet was sent before, and 0 for other
// packets.
func retransmissions(s *direct.Segment) uint32 {
	if s.Flags.Has(direct.SYN) {
		return s.Ack
	}
	return 0
}

// becomeReady starts forwarding, including the openings that have waited, and reports
// readiness to the routers. The catalogue and the targets must have been applied. It has
// no effect if the balancer is ready already or is stopping.
func (e *Edge) becomeReady() {
	if e.ready.ok.Load() || e.stopping.Load() {
		return
	}
	e.packets.start()
	e.packets.handleEarly()
	e.ready.set(true)
	e.log.Info("ready", zap.Duration("after", e.now()))
}

// healthCheck returns the path and the timeout of health checks of a service's targets.
func (e *Edge) healthCheck(service string) (path string, timeout time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.forward.HealthPath(service), e.forward.CheckTimeout(service)
}

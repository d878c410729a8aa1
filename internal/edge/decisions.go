package edge

import (
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
)

// logDecision writes a line for a decision that a caller may ask about: where a
// flow was opened, and why it was reset. Packets of open flows follow from
// these and are only counted.
func (e *Edge) logDecision(now time.Duration, s *direct.Segment, d direct.Decision, id direct.TargetID) {
	if d.Verb == direct.Forward && !d.SetCookie {
		return
	}
	e.log.Info("flow",
		zap.Stringer("caller", s.Caller),
		zap.Stringer("address", s.Address),
		zap.Stringer("outcome", d.Reason),
		zap.Stringer("target", id),
		zap.Uint32("cookie", uint32(s.Cookie)),
		zap.Uint32("copy", copyOf(s)),
		zap.Float64("load", d.Load),
		zap.Int64("version", d.Version),
		zap.Duration("age", now-time.Duration(e.proven.Load())))
}

// logGrades writes a line for each target that has begun or ceased to fail
// requests.
func (c *control) logGrades(news []direct.OutlierChange) {
	for _, g := range news {
		outcome := "target answers well again"
		if g.Failing {
			outcome = "target fails requests"
		}
		c.log.Info(outcome, zap.Stringer("target", g.Target), zap.Float64("share", g.Share),
			zap.Float64("good", g.Own.Good), zap.Float64("bad", g.Own.Bad),
			zap.Float64("peers_good", g.Peers.Good), zap.Float64("peers_bad", g.Peers.Bad))
	}
}

// copyOf returns how many copies of an opening went before, 0 for others.
func copyOf(s *direct.Segment) uint32 {
	if s.Flags.Has(direct.SYN) {
		return s.Ack
	}
	return 0
}

// becomeReady lets packets in once there is something to decide with.
func (e *Edge) becomeReady() {
	if e.ready.ok.Load() || e.left.Load() {
		return
	}
	e.packets.begin()
	e.packets.openEarly()
	e.ready.set(true)
	e.log.Info("ready", zap.Duration("after", e.now()))
}

// healthCheck says where the targets of a service are checked, and how long their answer
// may take.
func (e *Edge) healthCheck(service string) (path string, patience time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.forward.HealthPath(service), e.forward.CheckTimeout(service)
}

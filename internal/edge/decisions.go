package edge

import (
	"strconv"
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
	e.log.Info("flow", zap.Stringer("caller", s.Caller), zap.Stringer("address", s.Address),
		zap.Stringer("outcome", d.Reason), zap.String("target", targetName(id)), zap.Uint32("cookie", uint32(s.Cookie)),
		zap.Float64("load", d.Load), zap.Duration("at", now))
}

// targetName is a target's identifier as the store spells it.
func targetName(id direct.TargetID) string { return strconv.FormatUint(uint64(id), 16) }

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

func (e *Edge) healthPath(service string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.forward.HealthPath(service)
}

package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
)

// checkSoon requests a check of suspected targets without waiting for the next tick. It
// may be called from any goroutine.
func (c *control) checkSoon() {
	select {
	case c.checkNow <- struct{}{}:
	default: // a check is already requested
	}
}

func (c *control) checkSuspects(ctx context.Context, now time.Duration) {
	c.edge.mu.Lock()
	suspects := c.edge.forward.TargetsToCheck(now)
	c.edge.mu.Unlock()
	for _, t := range suspects {
		c.check(ctx, t)
	}
}

// check starts a health check of a suspected target.
func (c *control) check(ctx context.Context, t direct.Target) {
	c.startCheck(ctx, t, func(x direct.Finding, timeout time.Duration, err error) { c.handleCheck(t, x, timeout, err) })
}

// startCheck starts a health check of a target and passes its result to handle, on the control
// goroutine.
func (c *control) startCheck(ctx context.Context, t direct.Target, handle func(direct.Finding, time.Duration, error)) {
	c.edge.counts.checks.Add(1)
	path, timeout := c.edge.healthCheck(t.Service)
	go func() {
		x, err := c.checker.Check(ctx, t, path, timeout)
		c.post(func() { handle(x, timeout, err) })
	}()
}

func (c *control) handleCheck(t direct.Target, x direct.Finding, timeout time.Duration, err error) {
	now := c.now()
	c.edge.mu.Lock()
	v := c.edge.forward.Checked(now, t.Start(), x)
	due := c.edge.forward.ChecksDue()
	c.edge.mu.Unlock()
	if due {
		c.checkSoon()
	}
	c.resetFlows(now, v.Resets, direct.ResetSilent, t.ID)
	c.log.Info("target checked", zap.Stringer("target", t.ID), zap.Stringer("born", t.Born), zap.Stringer("address", t.Addr),
		zap.Stringer("finding", x), zap.Duration("patience", timeout), zap.Error(err))
	if x != direct.Alive {
		c.edge.counts.checksFailed.Add(1)
	}
	if v.Notify {
		c.alarmDue = true
		c.sendAlarmIfDue(now)
	}
}

// resetFlows resets flows that a target has lost.
func (c *control) resetFlows(now time.Duration, flows []direct.Segment, why direct.Reason, id direct.TargetID) {
	for i := range flows {
		c.edge.packets.reset(&flows[i])
		c.edge.logDecision(now, &flows[i], direct.Decision{Verb: direct.Reset, Reason: why}, id)
	}
}

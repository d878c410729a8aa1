package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/stepback"
)

// updateStepBack makes the routers use another data centre while this one is evacuated or
// this balancer reaches no target. Package stepback decides.
func (c *control) updateStepBack(ctx context.Context, now time.Duration) {
	if c.edge.without.Has(direct.StepBack) {
		return
	}
	d := c.stepBack.Tick(now, c.stepBackView(now))
	c.edge.ready.setSteppedBack(d.Reason)
	if d.Changed {
		c.logStepBack(d)
	}
	for _, x := range d.Checks {
		c.probe(ctx, x)
	}
}

func (c *control) logStepBack(d stepback.Decision) {
	if d.Reason == stepback.None {
		c.log.Info("serving callers here again after stepping back")
		return
	}
	c.log.Warn("stepped back; callers go to other data centres", zap.Stringer("reason", d.Reason), zap.Strings("services", d.Services))
}

// stepBackView returns the input of package stepback.
func (c *control) stepBackView(now time.Duration) stepback.View {
	e := c.edge
	e.mu.Lock()
	openings, dataCenters := e.forward.TakeOpenings(), e.forward.DataCenters(now)
	e.mu.Unlock()
	v := stepback.View{Own: e.boot.DataCenter, Senders: c.nearSenders()}
	for _, o := range openings {
		v.Openings = append(v.Openings, stepback.Openings(o))
	}
	balancers := c.fleet.DataCenters()
	for _, x := range dataCenters {
		v.DataCenters = append(v.DataCenters, stepback.DataCenter{Name: x.Name, Evacuated: x.Evacuated, EvacuatedFor: x.EvacuatedFor,
			Balancers: balancers[x.Name], Services: x.Services})
	}
	return v
}

// nearSenders returns the number of other balancers of this data centre that send regular
// heartbeats to this one; see recipients. In a large fleet the first balancer in rank is the
// only such sender of its data centre, apart from readers, and gets none itself. If it waited
// for one it would be the only balancer that stays ready, and routers would use all.
func (c *control) nearSenders() int {
	switch {
	case c.fleet.Small():
		return len(c.fleet.Near())
	case c.fleet.Rank() == 0:
		return 0
	}
	return 1
}

// probe checks a target to find out whether this balancer reaches the data centre. Unlike
// check it leaves an unanswered check out of the evidence against the target.
func (c *control) probe(ctx context.Context, x stepback.Check) {
	c.edge.mu.Lock()
	t, ok := c.edge.forward.TargetToProbe(x.Service, x.DataCenter)
	c.edge.mu.Unlock()
	if !ok {
		c.stepBack.Checked(x.DataCenter, false)
		return
	}
	c.startCheck(ctx, t, func(finding direct.Finding, _ time.Duration, err error) { c.handleProbe(x, t, finding, err) })
}

func (c *control) handleProbe(x stepback.Check, t direct.Target, finding direct.Finding, err error) {
	answered := finding == direct.Alive
	if answered {
		c.edge.mu.Lock()
		c.edge.forward.Probed(c.now(), t.Start())
		c.edge.mu.Unlock()
	} else {
		c.edge.counts.checksFailed.Add(1)
	}
	c.stepBack.Checked(x.DataCenter, answered)
	c.log.Info("target checked while stepped back", zap.Stringer("target", t.ID), zap.Stringer("address", t.Addr),
		zap.String("at", x.DataCenter), zap.Stringer("finding", finding), zap.Error(err))
}

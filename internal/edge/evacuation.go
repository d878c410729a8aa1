package edge

import (
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/platform"
)

// applyEvacuation applies an operator's evacuation of a data centre, or its end.
func (c *control) applyEvacuation(now time.Duration, i replica.Item, source string) {
	name, err := platform.ParseEvacuation(i.Key)
	if err != nil {
		c.edge.counts.invalidItems.Add(1)
		c.log.Error("evacuation is not usable", zap.String("key", i.Key), c.revision(i), zap.Error(err))
		return
	}
	what := "data centre evacuated: it gets no new flows, open ones stay"
	c.edge.mu.Lock()
	if i.Deleted {
		what = "data centre taken back"
		c.edge.forward.TakeBack(now, name)
	} else {
		c.edge.forward.Evacuate(now, name, c.replica.Position().At(i.Revision))
	}
	c.edge.mu.Unlock()
	c.log.Info(what, zap.String("at", name), c.revision(i), zap.String("source", source),
		zap.Duration("age", c.replica.Age(now)))
}

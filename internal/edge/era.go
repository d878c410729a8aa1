package edge

import (
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/internal/revision"
)

// applyCopy takes a whole copy of the store and puts what is new in force.
func (c *control) applyCopy(items []replica.Item, position revision.Revision, proven time.Duration, source string) {
	before, loaded := c.replica.Position(), c.replica.Loaded()
	age := c.replica.Age(c.now())
	news := c.replica.Replace(items, position, proven)
	if loaded && c.replica.Position().Era != before.Era {
		c.edge.counts.eras.Add(1)
		c.log.Warn("store came back from an older copy", zap.Stringer("before", before), zap.Stringer("position", c.replica.Position()),
			zap.String("source", source), zap.Duration("age", age), zap.Int("changes", len(news)))
	}
	c.apply(news, source)
	c.firstCopyIsThere(source)
}

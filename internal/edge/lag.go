package edge

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/hedge"
	"rosedale.dev/rosedale/internal/peer"
)

// lagReported is how long a replica may lack a change before a line reports it. Most
// changes arrive within a heartbeat and a request.
const lagReported = time.Second

// noteAnnounced records that a peer has a change which this replica may lack.
func (c *control) noteAnnounced(now time.Duration, h peer.Heartbeat) {
	if c.replica.Loaded() && h.Position != 0 {
		c.lag.Announced(now, h.Revision().At(h.LastChange), c.replica.Position())
	}
}

// reportLag logs a replica that has lacked a change for lagReported, once, and when it
// has caught up. The line says what this balancer waits for.
func (c *control) reportLag(now time.Duration) {
	behind := c.lag.For(now)
	if d, ended := c.lag.Reached(now, c.replica.Position()); ended {
		c.edge.times.lag.RecordDuration(d)
		c.fetches.CaughtUp()
		if c.lagLogged {
			c.log.Info("replica has caught up", zap.Duration("after", d), zap.Stringer("position", c.replica.Position()))
		}
		c.lagLogged = false
		behind = 0
	}
	c.edge.behind.Store(int64(behind))
	if behind < lagReported || c.lagLogged {
		return
	}
	c.lagLogged = true
	c.edge.counts.lags.Add(1)
	fields := []zap.Field{zap.Duration("for", behind), zap.Duration("age", c.replica.Age(now)), zap.Stringer("position", c.replica.Position()),
		zap.Bool("reading", c.reader.Reading()), zap.Duration("readFor", c.reader.BusyFor(now))}
	if oldest, ok := c.fetches.Oldest(); ok {
		fields = append(fields, zap.Stringer("asked", oldest.From), zap.Duration("fetchFor", now-oldest.Started))
	}
	c.log.Warn("replica is behind", fields...)
}

// connectionField returns the log field for the connection of a failed request.
func connectionField(err error) zap.Field {
	var failed *hedge.Error
	if !errors.As(err, &failed) {
		return zap.Skip()
	}
	return zap.Stringer("connection", failed.Connection)
}

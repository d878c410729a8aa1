package edge

import (
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
)

// logSaturation logs the gates of saturated services, once a second at most, so that an
// operator sees how a limit was reached even when the lines of single flows are left out.
func (c *control) logSaturation() {
	c.edge.mu.Lock()
	gates := c.edge.forward.Gates(c.now())
	c.edge.mu.Unlock()
	for _, g := range gates {
		if g.Saturated {
			c.log.Info("service saturated", gateFields(&g)...)
		}
	}
}

func gateFields(g *direct.GateInfo) []zap.Field {
	return []zap.Field{
		zap.String("service", g.Service), zap.Float64("ratio", g.Ratio), zap.Float64("factor", g.Factor),
		zap.Int("waiting", g.Waiting), zap.Any("pools", g.Pools), zap.Any("counts", g.Counts),
	}
}

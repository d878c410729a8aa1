package daemon

import (
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/router"
)

// logDecision logs a routing decision that may explain a failure that a caller reports.
// Successful openings and packets of open flows are only counted.
func logDecision(log *zap.Logger, d *router.Decision) {
	fields := []zap.Field{zap.Stringer("caller", d.Caller), zap.Stringer("address", d.Address)}
	if d.State != 0 {
		fields = append(fields, zap.Stringer("state", d.State), zap.Uint32("recorded", d.Seq), zap.Duration("idle", d.Idle))
	}
	if d.Target.IsValid() {
		fields = append(fields, zap.Stringer("target", d.Target))
	}
	if d.HasPacket {
		fields = append(fields, zap.Stringer("flags", d.Flags), zap.Uint32("seq", d.Sent), zap.Uint32("ack", d.Ack), zap.Uint8("hops", d.Hops))
	}
	if d.Sender.IsValid() {
		fields = append(fields, zap.Stringer("sender", d.Sender))
	}
	log.Info("flow "+d.Reason.String(), fields...)
}

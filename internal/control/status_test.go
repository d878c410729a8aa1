package control

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/forward"
	"rosedale.dev/rosedale/internal/router"
	"rosedale.dev/rosedale/internal/settings"
	"rosedale.dev/rosedale/internal/wire"
)

// newTestLoop returns the control state of a balancer without peers or store, with its data
// path at the given address.
func newTestLoop(t *testing.T, listen string) *Loop {
	t.Helper()
	set := settings.Default()
	set.Name, set.DataCenter = "vault-a-1", "vault-a"
	set.Data.Listen = netip.MustParseAddrPort(listen)
	r := router.New(set.Router())
	p, err := forward.New(forward.Config{Listen: set.Data.Listen, Workers: 1}, r, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return New(set, zap.NewNop(), r, p, nil, nil)
}

// A balancer announces that it serves and becomes ready readinessDelay later. Operators who
// wait for its status must not take it for ready before the fabric does.
func TestStatusIsReadyWhenTheFabricSeesIt(t *testing.T) {
	l := newTestLoop(t, "127.0.7.21:6081")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l.group.SetStatus(0, wire.Alive)
	l.servingAt = l.plane.Now()
	go l.Run(ctx)
	s, err := l.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if s.Ready || l.Ready(ctx) {
		t.Errorf("ready by the status: %v, for the fabric: %v; want neither before the delay", s.Ready, l.Ready(ctx))
	}
	_ = l.Do(ctx, func(time.Duration) { l.servingAt -= readinessDelay })
	if s, err = l.Status(ctx); err != nil || !s.Ready || !l.Ready(ctx) {
		t.Errorf("ready by the status: %v, for the fabric: %v; want both after the delay (%v)", s.Ready, l.Ready(ctx), err)
	}
}

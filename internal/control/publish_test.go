package control

import (
	"testing"

	"rosedale.dev/rosedale/internal/router"
	"rosedale.dev/rosedale/internal/wire"
)

// A data centre whose balancers are all unreachable may be cut off, so that unknown flows are
// not reset. One whose balancers have all left on purpose is not: callers of flows that
// nobody knows would wait in vain for as long as it has no balancer.
func TestViewIsPartialOnlyWithoutContact(t *testing.T) {
	l := newTestLoop(t, "127.0.7.22:6081")
	l.group.AddSeed(wire.Record{Name: "vault-b-1", DataCenter: "vault-b"})
	v := &router.View{}
	l.addNodes(v)
	if !v.Partial {
		t.Error("a data centre that never answered: not partial")
	}
	for i, c := range []struct {
		name     string
		statuses []wire.Status // of the members of the other data centre
		want     bool
	}{
		{"alive", []wire.Status{wire.Alive}, false},
		{"one of two dead", []wire.Status{wire.Alive, wire.Dead}, false},
		{"all dead", []wire.Status{wire.Dead, wire.Dead}, true},
		{"all left", []wire.Status{wire.Left, wire.Left}, false},
		{"one dead, the other left", []wire.Status{wire.Dead, wire.Left}, true},
		{"one replaced", []wire.Status{wire.Left, wire.Alive}, false},
	} {
		for j, s := range c.statuses {
			name := []string{"vault-b-1", "vault-b-2"}[j]
			l.group.Merge(0, wire.Record{Name: name, DataCenter: "vault-b", Incarnation: uint64(i + 1), Status: s})
		}
		v := &router.View{}
		l.addNodes(v)
		if v.Partial != c.want {
			t.Errorf("%s: partial %v, want %v", c.name, v.Partial, c.want)
		}
	}
}

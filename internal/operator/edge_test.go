package operator

import (
	"reflect"
	"testing"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/edge"
)

// One target has different states at two balancers, and a third balancer does not know
// another target. Only these two targets are differences.
func TestDifferences(t *testing.T) {
	status := func(vm string, states map[string]string) EdgeStatus {
		s := &edge.Status{VM: vm}
		for _, id := range []string{"a", "b", "c"} {
			if states[id] != "" {
				s.Targets = append(s.Targets, direct.TargetInfo{ID: id, State: states[id]})
			}
		}
		return EdgeStatus{Status: s}
	}
	got := Differences([]EdgeStatus{
		status("x", map[string]string{"a": "ready", "b": "ready", "c": "ready"}),
		status("y", map[string]string{"a": "dead", "b": "ready", "c": "ready"}),
		status("z", map[string]string{"a": "ready", "b": "ready"}),
		{Error: "unreachable"},
	})
	want := []Difference{
		{"a", map[string]string{"x": "ready", "y": "dead", "z": "ready"}},
		{"c", map[string]string{"x": "ready", "y": "ready", "z": "unknown"}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("differences %v, want %v", got, want)
	}
}

package operator

import (
	"context"
	"net/netip"
	"net/url"
	"sync"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/edge"
)

// Edges asks balancers whose targets answer callers themselves.
type Edges struct {
	Admins []string // their admin addresses
}

// EdgeStatus is one balancer's answer.
type EdgeStatus struct {
	Admin  string       `json:"admin"`
	Status *edge.Status `json:"status,omitempty"`
	Error  string       `json:"error,omitempty"`
}

// EdgeExplanation is what one balancer says of a flow.
type EdgeExplanation struct {
	Admin       string              `json:"admin"`
	Explanation *direct.Explanation `json:"explanation,omitempty"`
	Error       string              `json:"error,omitempty"`
}

// Status asks all balancers.
func (e Edges) Status(ctx context.Context) []EdgeStatus {
	return each(e.Admins, func(admin string) EdgeStatus {
		out := EdgeStatus{Admin: admin}
		var s edge.Status
		if err := (&Fleet{}).Get(ctx, admin, edge.StatusPath, nil, &s); err != nil {
			out.Error = err.Error()
			return out
		}
		out.Status = &s
		return out
	})
}

// Explain asks all balancers about a flow.
func (e Edges) Explain(ctx context.Context, caller, address netip.AddrPort) []EdgeExplanation {
	q := url.Values{"caller": {caller.String()}, "address": {address.String()}}
	return each(e.Admins, func(admin string) EdgeExplanation {
		out := EdgeExplanation{Admin: admin}
		var x direct.Explanation
		if err := (&Fleet{}).Get(ctx, admin, edge.ExplainPath, q, &x); err != nil {
			out.Error = err.Error()
			return out
		}
		out.Explanation = &x
		return out
	})
}

// each calls f for all balancers at once and keeps their order.
func each[T any](admins []string, f func(string) T) []T {
	out := make([]T, len(admins))
	var wg sync.WaitGroup
	for i, a := range admins {
		wg.Go(func() { out[i] = f(a) })
	}
	wg.Wait()
	return out
}

// Difference is a target about which balancers disagree.
type Difference struct {
	Target string            `json:"target"`
	States map[string]string `json:"states"` // by VM
}

// Differences returns the targets whose state is not the same at all balancers.
func Differences(all []EdgeStatus) []Difference {
	byTarget := map[string]map[string]string{}
	var order []string
	for _, s := range all {
		if s.Status == nil {
			continue
		}
		for _, t := range s.Status.Targets {
			if byTarget[t.ID] == nil {
				byTarget[t.ID] = map[string]string{}
				order = append(order, t.ID)
			}
			byTarget[t.ID][s.Status.VM] = t.State
		}
	}
	var out []Difference
	for _, id := range order {
		if d := (Difference{id, withMissing(byTarget[id], all)}); !same(d.States) {
			out = append(out, d)
		}
	}
	return out
}

// withMissing adds the balancers that do not know a target.
func withMissing(states map[string]string, all []EdgeStatus) map[string]string {
	for _, s := range all {
		if s.Status != nil && states[s.Status.VM] == "" {
			states[s.Status.VM] = "unknown"
		}
	}
	return states
}

func same(states map[string]string) bool {
	first := ""
	for _, s := range states {
		if first == "" {
			first = s
		}
		if s != first {
			return false
		}
	}
	return true
}

package operator

import (
	"context"
	"net/netip"
	"net/url"
	"sync"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/edge"
)

// Edges queries rosedale-edge balancers, whose targets answer callers directly.
type Edges struct {
	Admins []string // admin addresses of the balancers
}

// EdgeStatus is one balancer's status, or the error of the query.
type EdgeStatus struct {
	Admin  string       `json:"admin"`
	Status *edge.Status `json:"status,omitempty"`
	Error  string       `json:"error,omitempty"`
}

// EdgeExplanation is how one balancer would handle a flow, or the error of the query.
type EdgeExplanation struct {
	Admin       string              `json:"admin"`
	Explanation *direct.Explanation `json:"explanation,omitempty"`
	Error       string              `json:"error,omitempty"`
}

// Status queries the status of all balancers.
func (e Edges) Status(ctx context.Context) []EdgeStatus {
	return mapConcurrently(e.Admins, func(admin string) EdgeStatus {
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

// Explain queries all balancers about a flow.
func (e Edges) Explain(ctx context.Context, caller, address netip.AddrPort) []EdgeExplanation {
	q := url.Values{"caller": {caller.String()}, "address": {address.String()}}
	return mapConcurrently(e.Admins, func(admin string) EdgeExplanation {
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

// mapConcurrently calls f for all balancers concurrently and returns the results in order.
func mapConcurrently[T any](admins []string, f func(string) T) []T {
	out := make([]T, len(admins))
	var wg sync.WaitGroup
	for i, a := range admins {
		wg.Go(func() { out[i] = f(a) })
	}
	wg.Wait()
	return out
}

// Difference is a target whose state differs between balancers.
type Difference struct {
	Target string            `json:"target"`
	States map[string]string `json:"states"` // by VM
}

// Differences returns the targets whose state differs between balancers, in the order in
// which they are first listed.
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
		if d := (Difference{id, addUnknown(byTarget[id], all)}); !allEqual(d.States) {
			out = append(out, d)
		}
	}
	return out
}

// addUnknown adds the state "unknown" for each balancer that does not list a target.
func addUnknown(states map[string]string, all []EdgeStatus) map[string]string {
	for _, s := range all {
		if s.Status != nil && states[s.Status.VM] == "" {
			states[s.Status.VM] = "unknown"
		}
	}
	return states
}

func allEqual(states map[string]string) bool {
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

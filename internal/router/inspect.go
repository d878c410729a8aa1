package router

import (
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"sort"
	"time"

	"rosedale.dev/rosedale/internal/flow"
)

// FlowInfo is a flow in operator output.
type FlowInfo struct {
	Caller   netip.AddrPort `json:"caller"`
	Address  netip.AddrPort `json:"address"`
	Target   string         `json:"target"`
	State    string         `json:"state"`
	Home     string         `json:"home"`
	IdleMS   int64          `json:"idleMs"`
	Counted  bool           `json:"counted"`    // in its target's load at this balancer
	Answers  int            `json:"answers"`    // forwarded by this balancer, at most 255
	HandOver bool           `json:"handedOver"` // received from the previous home
}

// FlowList returns up to limit flows for which keep returns true.
func (r *Router) FlowList(now time.Duration, limit int, keep func(FlowInfo) bool) []FlowInfo {
	v := r.view.Load()
	var out []FlowInfo
	r.table.Each(func(e *flow.Entry) bool {
		if len(out) >= limit {
			return true
		}
		a, ok := v.addressByID(e.Key.Address)
		if !ok {
			return true
		}
		f := FlowInfo{
			Caller:   e.Key.CallerAddr(),
			Address:  a.addr,
			State:    e.State.String(),
			IdleMS:   (now - time.Duration(e.LastPacket)*flow.TickLength).Milliseconds(),
			Counted:  e.Flags&flow.Counted != 0,
			Answers:  int(e.Answers),
			HandOver: e.Flags&flow.HandedOver != 0,
		}
		if e.Target != 0 {
			f.Target = v.Targets[e.Target].Addr.String()
		}
		f.Home = v.Nodes[v.home(a.homeKey(hashFlow(f.Caller, f.Address)), false)].Name
		if keep(f) {
			out = append(out, f)
		}
		return true
	})
	return out
}

// Explanation is the target that a new flow would get, and why.
type Explanation struct {
	Service   string          `json:"service"`
	Address   netip.AddrPort  `json:"address"`
	Class     string          `json:"class"`
	Home      string          `json:"home"`
	IsHome    bool            `json:"isHome"` // whether this balancer is the flow's home, whose counts decide
	Choice    string          `json:"choice"`
	Why       string          `json:"why"`
	Waiting   int             `json:"waiting"` // openings in the service's queue
	Targets   []TargetExplain `json:"targets"`
	Withdrawn bool            `json:"withdrawn"` // no longer in the catalogue
}

// TargetExplain is the state of one target in an Explanation.
type TargetExplain struct {
	Target     string  `json:"target"`
	DataCenter string  `json:"dataCenter"`
	Eligible   bool    `json:"eligible"`
	Candidate  int     `json:"candidate"` // position in the flow's rendezvous order, from 1
	Load       float64 `json:"load"`      // estimate, in connections or slots
	Limit      int     `json:"limit"`     // in connections or slots
	Note       string  `json:"note"`
}

// Explain returns the target that a new flow of caller to address would get if
// this balancer decided now, without recording a flow. It returns false if the
// address is unknown.
func (r *Router) Explain(now time.Duration, caller, address netip.AddrPort) (Explanation, bool) {
	v := r.view.Load()
	a, ok := v.Addresses[address]
	if !ok {
		return Explanation{}, false
	}
	flowHash := hashFlow(caller, address)
	home := v.home(a.homeKey(flowHash), r.controlStalled(now))
	x := Explanation{
		Service:   v.Services[a.Service].Name,
		Address:   address,
		Class:     string(a.Class),
		Home:      v.Nodes[home].Name,
		IsHome:    home == v.Self,
		Withdrawn: a.Withdrawn,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[a.Service]
	if p == nil {
		return x, true
	}
	x.Waiting = p.Queue.Len()
	ex := p.Explain(now, a.Unit(), flowHash)
	for _, t := range ex.Targets {
		info := v.Targets[t.ID]
		x.Targets = append(x.Targets, TargetExplain{
			Target:     info.Addr.String(),
			DataCenter: info.DataCenter,
			Eligible:   t.Eligible,
			Candidate:  t.Place,
			Load:       t.Load,
			Limit:      t.Limit,
			Note:       t.Note,
		})
	}
	x.Why = ex.Why
	if ex.Choice != 0 {
		x.Choice = v.Targets[ex.Choice].Addr.String()
	}
	return x, true
}

// Fingerprint writes the state that later decisions depend on, in a fixed
// order; the model checker uses it to compare states.
func (r *Router) Fingerprint(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []flow.Entry
	r.table.Each(func(e *flow.Entry) bool {
		entries = append(entries, *e)
		return true
	})
	sort.Slice(entries, func(i, j int) bool { return lessKey(entries[i].Key, entries[j].Key) })
	for _, e := range entries {
		_, _ = fmt.Fprintf(w, "e%v %d %d %d %d %d;", e.Key.CallerAddr(), e.Target, e.Seq, e.State, e.Flags, e.Probe)
		if o := r.openings[e.Key]; o != nil {
			_, _ = fmt.Fprintf(w, "o%v %v %v %v;", o.tried, o.excluded, o.sentAt, o.resent)
		}
		if p := r.probes[e.Key]; p != nil {
			_, _ = fmt.Fprintf(w, "p%v;", p.candidates)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(r.pools)) {
		r.pools[n].Fingerprint(w)
	}
}

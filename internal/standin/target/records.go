package target

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

// Records keeps what the endpoints of a process ran, by request identifier.
type Records struct {
	mu    sync.Mutex
	runs  map[string][]string // where and when each was run
	calls map[*Endpoint]map[connection]bool
}

func newRecords() *Records {
	return &Records{runs: map[string][]string{}, calls: map[*Endpoint]map[connection]bool{}}
}

func (r *Records) execute(e *Endpoint, id string, c connection) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], fmt.Sprintf("%s for %s at %s", e.Target.Address, c.caller, time.Now().Format(time.StampMicro)))
	r.mu.Unlock()
	e.mu.Lock()
	e.stats.Executed++
	e.mu.Unlock()
}

func (r *Records) opened(e *Endpoint, c connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls[e] == nil {
		r.calls[e] = map[connection]bool{}
	}
	r.calls[e][c] = true
}

func (r *Records) closed(e *Endpoint, c connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls[e], c)
}

// open returns an endpoint's open streams.
func (r *Records) open(e *Endpoint) []connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]connection, 0, len(r.calls[e]))
	for c := range r.calls[e] {
		out = append(out, c)
	}
	return out
}

func (r *Records) snapshot() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

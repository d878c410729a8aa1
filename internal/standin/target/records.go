package target

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

// Records holds the requests that the endpoints of a process executed, by request
// identifier, and the open streams of each endpoint.
type Records struct {
	mu      sync.Mutex
	runs    map[string][]string // request identifier -> target, caller and time of each run
	streams map[*Endpoint]map[connection]bool
}

func newRecords() *Records {
	return &Records{runs: map[string][]string{}, streams: map[*Endpoint]map[connection]bool{}}
}

func (r *Records) recordRun(e *Endpoint, id string, c connection) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], fmt.Sprintf("%s for %s at %s", e.Target.Address, c.caller, time.Now().Format(time.StampMicro)))
	r.mu.Unlock()
	e.mu.Lock()
	e.stats.Executed++
	e.mu.Unlock()
}

func (r *Records) streamOpened(e *Endpoint, c connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams[e] == nil {
		r.streams[e] = map[connection]bool{}
	}
	r.streams[e][c] = true
}

func (r *Records) streamClosed(e *Endpoint, c connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams[e], c)
}

// openStreams returns an endpoint's open streams.
func (r *Records) openStreams(e *Endpoint) []connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]connection, 0, len(r.streams[e]))
	for c := range r.streams[e] {
		out = append(out, c)
	}
	return out
}

func (r *Records) snapshot() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

package direct

import (
	"fmt"
	"sync"
	"time"
)

// RunLog records the runs of requests at several targets, by their bodies. Its zero value
// is empty.
type RunLog struct {
	mu   sync.Mutex
	runs map[string][]string
}

// add notes a run at a target.
func (l *RunLog) add(body string, t *Target) {
	run := fmt.Sprintf("%s born %d at %s", t.Name(), t.Reg.Born, time.Now().UTC().Format(time.RFC3339Nano))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string][]string{}
	}
	l.runs[body] = append(l.runs[body], run)
}

// Repeated returns the requests that ran more than once, each with the targets, their starts
// and the times.
func (l *RunLog) Repeated() map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]string{}
	for body, runs := range l.runs {
		if len(runs) > 1 {
			out[body] = runs
		}
	}
	return out
}

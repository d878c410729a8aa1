package direct

import (
	"fmt"
	"sync"
	"time"
)

// RunLog records the executions of requests at one or more targets, by request body.
// Its zero value is an empty log.
type RunLog struct {
	mu   sync.Mutex
	runs map[string][]string
}

// add records an execution at a target.
func (l *RunLog) add(body string, t *Target) {
	run := fmt.Sprintf("%s born %d at %s", t.Name(), t.Reg.Born, time.Now().UTC().Format(time.RFC3339Nano))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string][]string{}
	}
	l.runs[body] = append(l.runs[body], run)
}

// Has reports whether a request was executed.
func (l *RunLog) Has(body string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[body]) > 0
}

// Repeated returns the bodies of requests that were executed more than once, each with
// the target, its start and the time of every execution.
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

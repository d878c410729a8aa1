// Package caller is the stand-in for callers. HTTP clients over a userspace TCP
// stack keep streams open and send requests, and record the outcome of each.
package caller

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// Result holds the outcomes of one run's streams and requests. Latencies are in
// milliseconds.
type Result struct {
	StreamsOpened int `json:"streamsOpened"` // whose connection opened
	StreamsFailed int `json:"streamsFailed"` // whose connection did not open
	StreamsBroken int `json:"streamsBroken"` // opened, and ended or sent a wrong frame before the end of the run
	StreamsReset  int `json:"streamsReset"`  // of StreamsBroken, those that a reset ended
	Frames        int `json:"frames"`        // frames received on all streams
	WrongService  int `json:"wrongService"`  // answers or frames of another service
	Crossed       int `json:"crossed"`       // answers or frames that belong to another request or stream
	Requests      int `json:"requests"`      // requests attempted
	Answered      int `json:"answered"`
	Refused       int `json:"refused"`  // whose opening was reset
	Broken        int `json:"broken"`   // not answered, though the connection opened: reset, cut or timed out
	TimedOut      int `json:"timedOut"` // whose connection did not open, other than Refused
	RunTwice      int `json:"runTwice"` // executed more than once
	// Twice lists the executions of the first requests in RunTwice, at most maxTwice requests.
	Twice          []string       `json:"twice,omitempty"`
	RefusedButRun  int            `json:"refusedButRun"`  // refused though a target reports a run
	AnsweredNotRun int            `json:"answeredNotRun"` // answered though no target reports a run
	P50            float64        `json:"p50"`            // response time of answered requests, opening included
	P99            float64        `json:"p99"`
	OpenP50        float64        `json:"openP50"` // time until a connection opened
	OpenP99        float64        `json:"openP99"`
	RefusedP50     float64        `json:"refusedP50"` // time until the refusal
	RefusedP99     float64        `json:"refusedP99"`
	Errors         map[string]int `json:"errors,omitempty"` // number of errors by cause
	// Cut lists the first flows that broke, at most maxCut.
	Cut []Cut `json:"cut,omitempty"`
}

// Cut describes a flow that broke after it opened, as its caller saw it.
type Cut struct {
	Caller string    `json:"caller"` // its address and port
	What   string    `json:"what"`   // identifier of the request or nonce of the stream
	Opened time.Time `json:"opened"`
	At     time.Time `json:"at"`
	Cause  string    `json:"cause"`
}

// recorder collects a Result from many goroutines.
type recorder struct {
	mu        sync.Mutex
	res       Result
	outcomes  map[string]outcome
	latencies []time.Duration
	openings  []time.Duration
	refusals  []time.Duration
}

// maxCut bounds Result.Cut.
const maxCut = 20

func (r *recorder) recordCut(c Cut) {
	r.update(func(res *Result) {
		if len(res.Cut) < maxCut {
			res.Cut = append(res.Cut, c)
		}
	})
}

// maxTwice bounds Result.Twice.
const maxTwice = 5

// outcome is how a request ended for its caller; see the fields of the same names in
// Result.
type outcome int

const (
	answered outcome = iota
	refused
	broken
	timedOut
)

func newRecorder() *recorder {
	return &recorder{outcomes: map[string]outcome{}, res: Result{Errors: map[string]int{}}}
}

// update calls f with the Result while it holds the lock.
func (r *recorder) update(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.res)
}

func (r *recorder) recordOutcome(id string, o outcome, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[id] = o
	switch o {
	case answered:
		r.res.Answered++
		r.latencies = append(r.latencies, took)
	case refused:
		r.res.Refused++
		r.refusals = append(r.refusals, took)
	case broken:
		r.res.Broken++
	case timedOut:
		r.res.TimedOut++
	}
}

func (r *recorder) recordOpening(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openings = append(r.openings, took)
}

// finish compares the callers' outcomes with the runs that targets report, by
// request identifier, and returns the completed Result.
func (r *recorder) finish(runs map[string][]string) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, o := range r.outcomes {
		n := len(runs[id])
		switch {
		case n > 1:
			r.res.RunTwice++
			if len(r.res.Twice) < maxTwice {
				r.res.Twice = append(r.res.Twice, fmt.Sprintf("%s: %s", id, strings.Join(runs[id], ", ")))
			}
		case o == refused && n > 0:
			r.res.RefusedButRun++
		case o == answered && n == 0:
			r.res.AnsweredNotRun++
		}
	}
	r.res.P50, r.res.P99 = percentiles(r.latencies)
	r.res.OpenP50, r.res.OpenP99 = percentiles(r.openings)
	r.res.RefusedP50, r.res.RefusedP99 = percentiles(r.refusals)
	return r.res
}

// percentiles sorts d and returns its 50th and 99th percentile in milliseconds.
func percentiles(d []time.Duration) (p50, p99 float64) {
	if len(d) == 0 {
		return 0, 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	at := func(q float64) float64 {
		return float64(d[int(q*float64(len(d)-1))].Microseconds()) / 1000
	}
	return at(0.5), at(0.99)
}

// Package caller is the stand-in for archivists, guests and agents: real HTTP
// clients over a userspace TCP stack that hold streams open and send notes,
// and that record what each of them saw.
package caller

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// Result is what the callers of one run saw. Latencies are in milliseconds.
type Result struct {
	StreamsOpened int `json:"streamsOpened"`
	StreamsFailed int `json:"streamsFailed"` // never opened
	StreamsBroken int `json:"streamsBroken"`
	StreamsReset  int `json:"streamsReset"` // of the broken: by a reset
	Frames        int `json:"frames"`
	WrongService  int `json:"wrongService"`
	Crossed       int `json:"crossed"` // another caller's answer
	Requests      int `json:"requests"`
	Answered      int `json:"answered"`
	Refused       int `json:"refused"`
	Broken        int `json:"broken"` // reset or cut after the connection opened
	TimedOut      int `json:"timedOut"`
	RunTwice      int `json:"runTwice"`
	// Twice tells where the first of them were run.
	Twice         []string       `json:"twice,omitempty"`
	RefusedButRun int            `json:"refusedButRun"`
	LostAnswers   int            `json:"answeredNotRun"`
	P50           float64        `json:"p50"`
	P99           float64        `json:"p99"`
	OpenP50       float64        `json:"openP50"`
	OpenP99       float64        `json:"openP99"`
	RefusedP50    float64        `json:"refusedP50"` // until the refusal
	RefusedP99    float64        `json:"refusedP99"`
	Errors        map[string]int `json:"errors,omitempty"`
	// Cut are the ends of the first flows that broke.
	Cut []Cut `json:"cut,omitempty"`
}

// Cut is a flow that broke at its caller.
type Cut struct {
	Caller string    `json:"caller"` // address and port
	What   string    `json:"what"`   // the request or stream
	Opened time.Time `json:"opened"`
	At     time.Time `json:"at"`
	Cause  string    `json:"cause"`
}

// recorder collects a Result from many goroutines.
type recorder struct {
	mu       sync.Mutex
	res      Result
	outcome  map[string]outcome
	latency  []time.Duration
	openings []time.Duration
	refusals []time.Duration
}

// maxCut bounds what is told of flows that broke.
const maxCut = 20

func (r *recorder) cut(c Cut) {
	r.do(func(res *Result) {
		if len(res.Cut) < maxCut {
			res.Cut = append(res.Cut, c)
		}
	})
}

// maxTwice bounds what is told of requests that were run twice.
const maxTwice = 5

type outcome int

const (
	answered outcome = iota
	refused
	broken
	timedOut
)

func newRecorder() *recorder {
	return &recorder{outcome: map[string]outcome{}, res: Result{Errors: map[string]int{}}}
}

func (r *recorder) do(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.res)
}

func (r *recorder) request(id string, o outcome, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome[id] = o
	switch o {
	case answered:
		r.res.Answered++
		r.latency = append(r.latency, took)
	case refused:
		r.res.Refused++
		r.refusals = append(r.refusals, took)
	case broken:
		r.res.Broken++
	case timedOut:
		r.res.TimedOut++
	}
}

func (r *recorder) opening(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openings = append(r.openings, took)
}

// finish compares the callers' outcomes with what targets say they ran.
func (r *recorder) finish(runs map[string][]string) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, o := range r.outcome {
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
			r.res.LostAnswers++
		}
	}
	r.res.P50, r.res.P99 = percentiles(r.latency)
	r.res.OpenP50, r.res.OpenP99 = percentiles(r.openings)
	r.res.RefusedP50, r.res.RefusedP99 = percentiles(r.refusals)
	return r.res
}

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

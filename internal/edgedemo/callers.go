package edgedemo

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

const (
	callersPerDataCenter = 4
	// maxTries is how often a caller tries a request. Each further try is on a new flow.
	maxTries = 3
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 2500 * time.Millisecond
	// latencyGoal is the response time above which an answer counts as late.
	latencyGoal = 500 * time.Millisecond
)

// callers is the set of stand-in callers, which send requests continuously, and the
// counts of their outcomes.
type callers struct {
	d    *deployment
	stop chan struct{}
	wg   sync.WaitGroup

	mu         sync.Mutex
	current    counts
	violations []string // descriptions of broken guarantees
}

// counts holds the outcomes of requests in one step of the demo.
type counts struct {
	requests, late, failed int             // late are answered after more than latencyGoal
	resets                 int             // resets of open flows
	latencies              []time.Duration // of answered requests
}

func startCallers(d *deployment) (*callers, error) {
	c := &callers{d: d, stop: make(chan struct{})}
	for i := range callersPerDataCenter * len(dataCenters) {
		from, err := direct.NewCaller(address(callerNet, i), dataPort)
		if err != nil {
			return nil, err
		}
		c.wg.Go(func() {
			defer from.Close()
			c.generateLoad(from, i)
		})
	}
	return c, nil
}

// stopAndWait stops the callers and waits until they have ended.
func (c *callers) stopAndWait() {
	close(c.stop)
	c.wg.Wait()
}

// takeCounts returns the counts since the previous call.
func (c *callers) takeCounts() counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.current
	c.current = counts{}
	return out
}

func (c *callers) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// generateLoad sends requests until the callers stop, with random pauses below 60 ms:
// previews on a flow that stays open, and each note on a new flow.
func (c *callers) generateLoad(from *direct.Caller, id int) {
	rng := rand.New(rand.NewPCG(uint64(id), 1))
	var open *direct.Flow
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		}
		via := func() netip.AddrPort { return c.d.pickBalancer(dataCenters[id%len(dataCenters)], rng) }
		body := fmt.Sprintf("c%d-%d", id, n)
		if rng.IntN(2) == 0 {
			open = c.request(from, via, previews, body, open)
			continue
		}
		if fl := c.request(from, via, notes, body, nil); fl != nil {
			fl.Close()
		}
	}
}

// pickBalancer returns the data address of a random balancer as the fabric chooses it:
// one that is ready in the data centre, or any if there is none.
func (d *deployment) pickBalancer(dataCenter string, rng *rand.Rand) netip.AddrPort {
	var ready []*balancer
	for _, b := range d.balancers {
		if b.dataCenter == dataCenter && b.ready.Load() {
			ready = append(ready, b)
		}
	}
	if len(ready) == 0 {
		ready = d.balancers
	}
	return ready[rng.IntN(len(ready))].data()
}

// request sends a request, on fl if it is not nil, and returns the flow on which it was
// answered, or nil. A note is not sent again after an error on its flow, since it may have
// run.
func (c *callers) request(from *direct.Caller, via func() netip.AddrPort, to netip.AddrPort, body string, fl *direct.Flow) *direct.Flow {
	began := time.Now()
	for range maxTries {
		var err error
		if fl == nil {
			if fl, err = from.Open(to, via()); err != nil {
				fl = nil
				continue
			}
		}
		answer, err := fl.AskVia(body, answerTimeout, via)
		if err == nil {
			c.checkAnswer(to, body, answer, time.Since(began))
			return fl
		}
		fl.Close()
		fl = nil
		c.countReset(err)
		if to == notes {
			break // it may have run
		}
	}
	c.count(func(s *counts) { s.requests++; s.failed++ })
	return nil
}

func (c *callers) count(add func(*counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.current)
}

// countReset counts an error if it is a reset.
func (c *callers) countReset(err error) {
	if errors.Is(err, direct.ErrReset) {
		c.count(func(s *counts) { s.resets++ })
	}
}

// checkAnswer records a violation if the answer belongs to another request or comes
// from another service, and counts the answer.
func (c *callers) checkAnswer(to netip.AddrPort, body, answer string, took time.Duration) {
	got, name, _ := strings.Cut(answer, " by ")
	if got != body {
		c.recordViolation("request %s got the answer of %s", body, got)
	}
	i := slices.IndexFunc(c.d.targets, func(t *target) bool { return t.Name() == name })
	if i < 0 || c.d.targets[i].Reg.Service != serviceOf[to] {
		c.recordViolation("request %s to %v was answered by %s", body, to, name)
	}
	c.count(func(s *counts) {
		s.requests++
		s.latencies = append(s.latencies, took)
		if took > latencyGoal {
			s.late++
		}
	})
}

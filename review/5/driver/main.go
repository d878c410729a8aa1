// Command driver plays the case of review/5: endpoints are replaced one after the other, and each
// finishes the requests that it has before it exits.
package main

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"rosedale.dev/rosedale/review/rig2"
)

const (
	usual    = "52ms"  // the work of most requests
	longest  = "310ms" // the longest work on the site's sheet
	deadline = 2500 * time.Millisecond
	drain    = 3 * time.Second
	// more is how much longer than the drain an endpoint serves.
	more = 300 * time.Millisecond
	// before is how long before an endpoint begins to exit its last requests come.
	before = 60 * time.Millisecond
	slots  = 2
	// paused is the number of flows that have a pause, for each endpoint.
	paused = 3
)

var desk = netip.MustParseAddrPort("127.198.0.1:443")

var zones = []string{"a", "b", "c"}

func main() {
	broken, err := play(os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// world is the installation of a play.
type world struct {
	*rig2.Deployment
	requesters []*rig2.Requester
	endpoints  []*rig2.Endpoint
	flows      map[string][]*rig2.Flow // open flows in a pause, by endpoint
	stop       chan struct{}
	asking     sync.WaitGroup
	broken     int
}

func play(trouble bool) (broken bool, err error) {
	r, err := rig2.NewRecord(os.Args[1])
	if err != nil {
		return false, err
	}
	defer r.Close()
	d, err := rig2.NewDeployment(r, rig2.Bounds{DrainMS: int(drain.Milliseconds()), ConfigMS: 3000, HeartbeatMS: 1200}, zones...)
	if err != nil {
		return false, err
	}
	defer d.Close()
	w := &world{Deployment: d, flows: map[string][]*rig2.Flow{}, stop: make(chan struct{})}
	if err := w.start(); err != nil {
		return false, err
	}
	defer w.end()
	time.Sleep(8 * time.Second)
	for i, e := range w.endpoints[:2*len(zones)] {
		if err := w.openFlows(e, i%len(zones)); err != nil {
			return false, err
		}
		if err := w.replace(trouble, e, i); err != nil {
			return false, err
		}
	}
	r.Say("%d requests whose requester was reset by the system while their endpoint was at work", w.broken)
	return w.broken > 0, nil
}

func (w *world) start() error {
	w.Configure(3, []rig2.Service{{Name: "desk"}},
		[]rig2.Route{{Name: "submit", Address: desk, Type: "unsafe", Service: "desk", TimeOut: deadline, Goal: 250 * time.Millisecond, Priority: 1}})
	for i := range 2 * len(zones) {
		if err := w.addEndpoint(i%len(zones), i); err != nil {
			return err
		}
	}
	if err := w.StartBalancers(2); err != nil {
		return err
	}
	for z, zone := range zones {
		q, err := rig2.NewRequester(w.Record, w.Router, zone, w.RequesterAddr(z, 0))
		if err != nil {
			return err
		}
		w.requesters = append(w.requesters, q)
		for range 6 {
			w.asking.Add(1)
			go w.keepAsking(q)
		}
	}
	return nil
}

func (w *world) end() {
	close(w.stop)
	w.asking.Wait()
	for _, q := range w.requesters {
		q.Close()
	}
	for _, e := range w.endpoints {
		e.Close()
	}
}

func (w *world) addEndpoint(z, i int) error {
	e, err := rig2.NewEndpoint(w.Record, w.Store, uint64(0x3df7fc1000+i), w.EndpointAddr(z, i), "desk", zones[z], slots, rig2.DataPort, 1200*time.Millisecond)
	if err != nil {
		return err
	}
	w.endpoints = append(w.endpoints, e)
	return nil
}

// keepAsking keeps a flow open for many requests, with short pauses, until the end.
func (w *world) keepAsking(q *rig2.Requester) {
	defer w.asking.Done()
	for n := 0; ; {
		fl, err := q.Open(desk)
		if err != nil {
			w.Record.Add("%s not opened: %v", fl.Local, err)
			time.Sleep(100 * time.Millisecond)
		}
		for closed := err != nil; !closed; n++ {
			select {
			case <-w.stop:
				fl.Close()
				return
			case <-time.After(200 * time.Millisecond):
			}
			var answer string
			answer, closed, err = fl.Ask(fmt.Sprintf("submit-%v-%d %s", fl.Local, n, usual), deadline)
			w.Record.Add("%s: %q, %v", fl.Local, answer, err)
			closed = closed || err != nil
		}
		fl.Close()
	}
}

// openFlows opens flows to an endpoint that have a request answered and pause then. Those that go
// to another endpoint stay open meanwhile, as the next ones would go there too.
func (w *world) openFlows(e *rig2.Endpoint, zone int) error {
	var others []*rig2.Flow
	defer func() {
		for _, fl := range others {
			fl.Close()
		}
	}()
	for tries := 0; len(w.flows[e.Name]) < paused; tries++ {
		if tries == 60 {
			return errors.New("no flow was opened to " + e.Name)
		}
		fl, err := w.requesters[zone].Open(desk)
		if err != nil {
			continue
		}
		answer, closed, err := fl.Ask("first "+usual, deadline)
		if err != nil || closed || !strings.HasSuffix(answer, e.Name) {
			others = append(others, fl)
			continue
		}
		w.flows[e.Name] = append(w.flows[e.Name], fl)
	}
	return nil
}

// replace starts a new endpoint and lets the old one drain and exit.
func (w *world) replace(trouble bool, e *rig2.Endpoint, i int) error {
	if trouble {
		if err := w.addEndpoint(i%len(zones), len(w.endpoints)); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
		e.Drain()
	}
	time.Sleep(drain + more - before)
	var last sync.WaitGroup
	results := make(chan bool, paused)
	for n, fl := range w.flows[e.Name] {
		last.Add(1)
		go func() {
			defer last.Done()
			results <- w.ask(fl, fmt.Sprintf("submit-last-%d-%d %s", i, n, longest))
		}()
	}
	time.Sleep(before)
	if trouble {
		e.Finish()
	}
	last.Wait()
	close(results)
	for reset := range results {
		if reset {
			w.broken++
		}
	}
	return nil
}

// ask sends the request after a pause. It reports whether the system reset the flow although the
// endpoint was at work on the request and answered it then.
func (w *world) ask(fl *rig2.Flow, text string) bool {
	began := time.Now()
	w.Record.Add("%s asks %q", fl.Local, text)
	answer, _, err := fl.Ask(text, deadline)
	w.Record.Add("%s: %q, %v, after %v", fl.Local, answer, err, time.Since(began).Round(time.Millisecond))
	if !errors.Is(err, rig2.ErrReset) {
		return false
	}
	late, ok := fl.Late(time.Second)
	w.Record.Add("%s: the answer comes on the flow that was reset: %q, %v", fl.Local, late, ok)
	return ok
}

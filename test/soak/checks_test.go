package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

var (
	previews = netip.MustParseAddrPort("198.18.0.1:443") // requests may run twice
	notes    = netip.MustParseAddrPort("198.18.0.2:443") // requests must run at most once
	extra    = netip.MustParseAddrPort("198.18.0.3:443") // route is added and removed during the faults
	// Routes that only overloads use.
	urgentPreviews = netip.MustParseAddrPort("198.18.0.4:443")
	archive        = netip.MustParseAddrPort("198.18.0.5:443")
)

// serviceOf has the service of each route.
var serviceOf = map[netip.AddrPort]string{
	previews: "catalogue", urgentPreviews: "catalogue", extra: "catalogue", notes: "scan-store", archive: "scan-store",
}

// runCaller runs one caller, which opens flows one after another and sends one to
// eight requests on each.
func (w *world) runCaller(rng, late *rand.Rand, id int) {
	defer w.callers.Done()
	c, err := direct.NewCaller(w.ip(1, id), dataPort)
	if err != nil {
		w.t.Error(err)
		return
	}
	defer c.Close()
	c.LateCopy = w.lateCopies(late)
	for n := 0; !w.stopping.Load(); n++ {
		to := []netip.AddrPort{previews, notes}[rng.IntN(2)]
		fl, err := c.Open(to, w.chooseBalancer(rng).data())
		if err != nil {
			if errors.Is(err, direct.ErrReset) {
				w.noteRejection(fl, to, fmt.Sprintf("c%d-%d-0", id, n))
			}
			w.lost.Add(1)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for i := range 1 + rng.IntN(8) {
			if !w.sendRequest(rng, fl, to, fmt.Sprintf("c%d-%d-%d", id, n, i)) {
				break
			}
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
		fl.Close()
	}
}

// chooseBalancer chooses a balancer as the platform's routers do: a ready one, or any
// if less than half are ready.
func (w *world) chooseBalancer(rng *rand.Rand) *node {
	var up []*node
	for _, n := range w.nodes {
		if n.ready.Load() {
			up = append(up, n)
		}
	}
	if len(up) < len(w.nodes)/2 {
		up = w.nodes
	}
	return up[rng.IntN(len(up))]
}

// sendRequest sends one request on an open flow through newly chosen balancers and
// checks the answer. It returns false if the request failed.
func (w *world) sendRequest(rng *rand.Rand, fl *direct.Flow, to netip.AddrPort, body string) bool {
	w.sent.Add(1)
	if w.ask(fl, to, body, 4*time.Second, func() netip.AddrPort { return w.chooseBalancer(rng).data() }) != nil {
		w.lost.Add(1)
		return false
	}
	w.answered.Add(1)
	return true
}

// ask sends one request on an open flow, through the balancer that via returns for each
// transmission, and checks the outcome.
func (w *world) ask(fl *direct.Flow, to netip.AddrPort, body string, timeout time.Duration, via func() netip.AddrPort) error {
	w.callerOf.Store(body, fl.Local())
	answer, err := fl.AskVia(body, timeout, via)
	if errors.Is(err, direct.ErrNotRun) {
		w.noteRejection(fl, to, body)
	}
	if err != nil {
		w.checkReset(fl, err, body)
		return err
	}
	got, name, _ := strings.Cut(answer, " by ")
	if got != body {
		w.t.Errorf("request %s got the answer of %s", body, got)
	}
	if x := w.target(name); x == nil || x.service != serviceOf[to] {
		w.t.Errorf("request %s to %v was answered by %s", body, to, name)
	}
	return nil
}

// checkReset checks that a flow was reset only because its target, or the start of the
// target that accepted the flow, has ended.
func (w *world) checkReset(fl *direct.Flow, err error, body string) {
	if !errors.Is(err, direct.ErrReset) {
		return
	}
	if x := w.targetOf(fl); x != nil && !x.ended.Load() && x.OpenedInThisStart(fl.TargetISN()) {
		w.t.Errorf("flow of request %s was reset although the start of target %s that accepted it is running", body, x.Name())
		w.trace(fl.Local())
	}
}

// targetOf returns the target that a flow's cookie names, or nil.
func (w *world) targetOf(fl *direct.Flow) *tracked {
	for _, x := range *w.known.Load() {
		if uint32(x.ID) == fl.Cookie() {
			return x
		}
	}
	return nil
}

// target returns the target with a name, or nil.
func (w *world) target(name string) *tracked {
	for _, x := range *w.known.Load() {
		if x.Name() == name {
			return x
		}
	}
	return nil
}

// stopCallers stops the callers and waits for them.
func (w *world) stopCallers() {
	w.stopping.Store(true)
	w.callers.Wait()
}

// checkRecovered checks, after the end of all faults, that every balancer has the newest
// desired state, list of targets and evacuation in force, and that no request ran twice.
func (w *world) checkRecovered(evacuated bool) {
	c, err := direct.NewCaller(w.ip(1, 99), dataPort)
	if err != nil {
		w.t.Fatal(err)
	}
	defer c.Close()
	before := map[*tracked]int64{}
	for _, x := range w.targets {
		before[x] = x.Opened.Load()
	}
	for _, n := range w.nodes {
		if !n.running() {
			w.t.Errorf("balancer %s has ended by itself: %v", n.addr, n.cmd.ProcessState)
			continue
		}
		for i := range 12 {
			to := []netip.AddrPort{previews, notes, extra}[i%3]
			fl, err := c.Open(to, n.data())
			if err == nil {
				_, err = fl.Ask("settled", 2*time.Second)
				fl.Close()
			}
			if err != nil {
				w.t.Errorf("balancer %s, address %v, after all faults, flow from %v: %v", n.addr, to, fl.Local(), err)
				w.trace(fl.Local())
			}
		}
	}
	for _, x := range w.targets {
		if n := x.Opened.Load() - before[x]; n > 0 && (x.ended.Load() || !x.draining.IsZero()) {
			w.t.Errorf("target %s, which drains or has ended, got %d new flows", x.Name(), n)
		}
		if n := x.Opened.Load() - before[x]; n > 0 && evacuated && x.dataCenter == "b" {
			w.t.Errorf("target %s of an evacuated data centre got %d new flows", x.Name(), n)
		}
	}
	for body, at := range w.ran.Repeated() {
		if body != "settled" {
			w.t.Errorf("request %s ran %d times: %v", body, len(at), at)
			w.traceRequest(body)
		}
	}
}

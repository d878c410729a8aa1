package direct

import (
	"net/netip"
	"time"

	"pgregory.net/rapid"
)

// model is a random run of several balancers whose views of targets and routes differ, with
// the flows as callers and targets see them. It checks these invariants for any order of
// events:
//
//   - a packet goes only to its flow's target, and an opening only to a target of the
//     route's service;
//   - a balancer resets a flow only if its target has ended or its route is gone;
//   - a flow of the current start of a target survives later updates about the target,
//     including outdated ones from a restored store;
//   - counts at targets never become negative.
type model struct {
	now       time.Duration
	balancers []*Forwarder
	extra     bool // the latest catalogue has the extra route
	targets   []*modelTarget
	flows     []*modelFlow
	nextPort  uint16
	era       int64       // of the store
	revision  int64       // of the store
	saved     modelBackup // latest backup of the store
	restored  modelBackup // content of the store when it came back
	// trustsPeerFindings is a defect for the model to detect: balancers treat any finding of
	// a peer as their own.
	trustsPeerFindings bool
	// resetsAllOnRestart is another defect: balancers treat all flows of a restarted target
	// as lost.
	resetsAllOnRestart bool
	// trustsOldCopy is another defect: balancers accept all registrations from a store that
	// was restored from an older copy.
	trustsOldCopy bool
	fail          func(format string, args ...any)
}

type modelTarget struct {
	Target
	ended bool // shut down for good
	down  bool // crashed and not restarted yet
	start int  // number of the current start; each flow belongs to one
	// closed means that it accepts no more connections, as it is about to end, but still
	// answers on its open flows.
	closed bool
}

type modelFlow struct {
	key    FlowKey
	target *modelTarget // where the caller's first packet was accepted
	start  int          // start of the target that accepted it
	seq    uint32
	ack    uint32
	over   bool // ended for the caller, by a reset
	// dropped means that its route was removed at some time since it opened.
	dropped bool
}

var extraRoute = netip.MustParseAddrPort("198.18.0.3:443")

func newModel(balancers int) *model {
	m := &model{now: time.Minute, extra: true}
	for i := range balancers {
		f := New(Config{DataCenter: "a", FlowMaxAge: time.Minute, MaxFlows: 50, Seed: uint64(i)})
		m.balancers = append(m.balancers, f)
	}
	for range 3 {
		m.addTarget("s")
	}
	m.addTarget("x")
	for i := range m.balancers {
		m.update(i)
	}
	return m
}

func (m *model) setCatalogue(i int) {
	c := testCatalogue()
	if m.extra {
		c.Routes[extraRoute] = Route{Name: "extra", Address: extraRoute, Backends: []Backend{{"x", 1}}, Kind: Idempotent}
	}
	m.balancers[i].SetCatalogue(c)
}

// addTarget starts a target. Another target may have had its address before.
func (m *model) addTarget(service string) {
	t := &modelTarget{Target: target1(TargetID(0xc000000001+len(m.targets)), "a")}
	t.Service = service
	t.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(m.targets) % 5)}), 80)
	m.targets = append(m.targets, t)
}

// update brings a balancer up to date, as a full listing of the store does.
func (m *model) update(i int) {
	m.setCatalogue(i)
	f := m.balancers[i]
	for _, t := range m.targets {
		if t.ended {
			m.applyResets(f.RemoveTarget(m.now, t.ID), ResetGone)
			continue
		}
		if m.resetsAllOnRestart {
			f.SetListCompleteAt(m.now + time.Hour)
		}
		m.applyResets(f.PutTarget(m.now, t.Target), ResetRestarted)
	}
	f.SetListCompleteAt(m.now)
}

func (m *model) target(id TargetID) *modelTarget {
	for _, t := range m.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// open sends a caller's opening through one balancer and its first packet through another. If
// copied is set, the second balancer also gets a copy of the opening, possibly for another
// target, whose answer the caller ignores.
func (m *model) open(to netip.AddrPort, first, second int, copied bool) {
	m.nextPort++
	fl := &modelFlow{key: FlowKey{netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), m.nextPort), to}, seq: 101, ack: 1000}
	d := m.balancers[first].Handle(m.now, &Segment{Caller: fl.key.Caller, Address: to, Seq: 100, Flags: SYN})
	if d.Verb != Forward {
		return
	}
	want := "s"
	if to == extraRoute {
		want = "x"
	}
	if d.Target.Service != want {
		m.fail("opening of %v went to service %s", to, d.Target.Service)
	}
	fl.dropped = to == extraRoute && !m.extra
	fl.target = m.target(d.Target.ID)
	fl.start = fl.target.start
	if fl.target.ended || fl.target.down {
		return
	}
	m.now += 6 * time.Millisecond
	if copied {
		m.balancers[second].Handle(m.now, &Segment{Caller: fl.key.Caller, Address: to, Seq: 100, Ack: 1, Flags: SYN})
	}
	m.flows = append(m.flows, fl)
	m.send(fl, second, 0, true)
}

// send sends a packet of an open flow through a balancer.
func (m *model) send(fl *modelFlow, i, length int, progress bool) {
	s := &Segment{Caller: fl.key.Caller, Address: fl.key.Address, Seq: fl.seq, Len: length, Cookie: fl.target.ID.Cookie(), Flags: ACK}
	if progress && !fl.lost() {
		fl.ack += 500
	}
	s.Ack = fl.ack
	d := m.balancers[i].Handle(m.now, s)
	switch d.Verb {
	case Forward:
		if d.Target.ID != fl.target.ID {
			m.fail("packet of a flow at %x went to %x", uint64(fl.target.ID), uint64(d.Target.ID))
		}
	case Reset:
		fl.over = true
		m.checkReset(fl, d.Reason)
	}
}

// finishCheck gives a balancer the result of its check of a target.
func (m *model) finishCheck(i int, x *modelTarget, reachable bool) {
	finding := Alive
	switch {
	case x.ended, x.closed, x.down:
		finding = Gone
	case !reachable:
		return // the check ends without a result; suspect_test.go covers network cuts
	}
	m.applyResets(m.balancers[i].Checked(m.now, x.Start(), finding).Resets, ResetSilent)
}

// applyResets applies the resets that a balancer sends on its own.
func (m *model) applyResets(segments []Segment, why Reason) {
	for _, seg := range segments {
		for _, fl := range m.flows {
			if fl.key == seg.Flow() {
				fl.over = true
				m.checkReset(fl, why)
			}
		}
	}
}

// step applies one random event.
func (m *model) step(t *rapid.T) {
	i := rapid.IntRange(0, len(m.balancers)-1).Draw(t, "balancer")
	j := rapid.IntRange(0, len(m.balancers)-1).Draw(t, "other balancer")
	x := m.targets[rapid.IntRange(0, len(m.targets)-1).Draw(t, "target")]
	switch rapid.IntRange(0, 15).Draw(t, "event") {
	case 0, 1:
		to := []netip.AddrPort{streams, notes, extraRoute}[rapid.IntRange(0, 2).Draw(t, "address")]
		m.open(to, i, j, rapid.Bool().Draw(t, "copied"))
	case 2, 3, 4:
		if fl := m.pick(t); fl != nil {
			m.send(fl, i, rapid.SampledFrom([]int{0, 300}).Draw(t, "length"), rapid.Bool().Draw(t, "progress"))
		}
	case 5:
		m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
		m.balancers[i].Tick(m.now)
	case 6:
		m.update(i)
	case 7:
		if len(m.targets) < 12 {
			m.addTarget(rapid.SampledFrom([]string{"s", "x"}).Draw(t, "service"))
		}
	case 8:
		x.Draining = true
		x.ended = rapid.Bool().Draw(t, "ended") || x.ended
		x.closed = rapid.Bool().Draw(t, "closed") && m.announced(x) || x.closed
	case 9:
		for _, want := range m.balancers[i].TargetsToCheck(m.now) {
			m.finishCheck(i, m.target(want.ID), true)
		}
		if m.trustsPeerFindings {
			if known := m.balancers[j].targets[x.ID]; known != nil {
				known.checkedAt = m.now // as if it had checked the target itself
			}
			m.applyResets(m.balancers[j].Checked(m.now, x.Start(), Gone).Resets, ResetSilent)
			return
		}
		m.balancers[j].PeerSuspects(m.now, x.ID)
	case 10:
		m.setExtra(rapid.Bool().Draw(t, "extra route"))
	case 11:
		m.crash(x)
	case 12:
		m.restart(x, rapid.IntRange(-3000, 3000).Draw(t, "clock step"))
	case 13:
		m.saved = m.backup()
	case 14:
		m.restoreStore(m.saved)
	case 15:
		m.updateRestored(i)
	}
}

// setExtra adds or removes the extra route of the catalogue.
func (m *model) setExtra(on bool) {
	m.extra = on
	for _, fl := range m.flows {
		fl.dropped = fl.dropped || !on && fl.key.Address == extraRoute
	}
}

// announced reports whether all balancers know that a target leaves. A target ends only after
// that, seconds after its announcement.
func (m *model) announced(x *modelTarget) bool {
	for _, f := range m.balancers {
		if known := f.targets[x.ID]; known != nil && !known.Draining {
			return false
		}
	}
	return true
}

// pick returns a random open flow, or nil if there is none.
func (m *model) pick(t *rapid.T) *modelFlow {
	var open []*modelFlow
	for _, fl := range m.flows {
		if !fl.over {
			open = append(open, fl)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[rapid.IntRange(0, len(open)-1).Draw(t, "flow")]
}

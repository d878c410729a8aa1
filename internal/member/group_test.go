package member

import (
	"fmt"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/wire"
)

// network connects groups with a virtual clock that advances by netStep. Messages
// arrive in the step in which they are sent, answers in the next one, unless lost
// drops them or the receiver is paused.
type network struct {
	now    time.Duration
	groups map[string]*Group
	names  []string
	lost   func(from, to string) bool
	paused map[string]bool
	bytes  map[string]int // encoded bytes sent, by sender
	queue  []inFlight
}

type inFlight struct {
	at   time.Duration
	from string
	Send
}

const netStep = 100 * time.Millisecond

func newNetwork(n int) *network {
	w := &network{groups: map[string]*Group{}, paused: map[string]bool{}, bytes: map[string]int{}, lost: func(string, string) bool { return false }}
	for i := range n {
		name := fmt.Sprintf("vm-%03d", i)
		var seeds []wire.Record
		if i > 0 {
			seeds = []wire.Record{{Name: "vm-000", DataCenter: "a"}}
		}
		r := wire.Record{Name: name, DataCenter: "a", Incarnation: 1, Status: wire.Alive}
		w.groups[name] = New(Settings{}, r, seeds, uint64(i+1))
		w.names = append(w.names, name)
	}
	return w
}

func (w *network) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += netStep {
		for _, n := range w.names {
			if !w.paused[n] {
				w.send(n, w.groups[n].Tick(w.now))
			}
		}
		q := w.queue
		w.queue = nil
		for _, m := range q {
			if g := w.groups[m.To]; g != nil && !w.paused[m.To] {
				w.send(m.To, g.Receive(w.now, m.Msg))
			}
		}
	}
}

func (w *network) send(from string, out []Send) {
	for _, s := range out {
		b, err := wire.Encode(s.Msg)
		if err != nil {
			panic(err)
		}
		w.bytes[from] += len(b)
		if !w.lost(from, s.To) {
			m, _ := wire.Decode(b)
			w.queue = append(w.queue, inFlight{w.now, from, Send{s.To, m}})
		}
	}
}

// expectStatus checks the status of a member in the lists of all others that run.
func (w *network) expectStatus(t *testing.T, name string, want wire.Status) {
	t.Helper()
	for _, n := range w.names {
		if n == name || w.paused[n] {
			continue
		}
		if r, _ := w.groups[n].Get(name); r.Status != want {
			t.Errorf("%s sees %s as %v, want %v", n, name, r.Status, want)
		}
	}
}

// One seed is enough for all members to find each other, and all lists become equal.
func TestOneSeedIsEnough(t *testing.T) {
	w := newNetwork(40)
	w.run(20 * time.Second)
	want := w.groups["vm-000"].Digest()
	for _, n := range w.names {
		if g := w.groups[n]; g.Digest() != want || len(g.Members()) != 40 {
			t.Errorf("%s knows %d members, digest equal: %v", n, len(g.Members()), g.Digest() == want)
		}
	}
}

// A VM stops without announcing it. Openings of callers whose home it was wait until
// the other members have marked it dead, so this must not take longer than 5 s.
func TestDeathIsDetectedWithinSeconds(t *testing.T) {
	w := newNetwork(7)
	w.run(10 * time.Second)
	w.paused["vm-003"] = true
	w.run(5 * time.Second)
	w.expectStatus(t, "vm-003", wire.Dead)
}

// A VM is paused for longer than its peers wait, and resumes with an outdated list. It
// must learn that it was marked dead before it decides on flows, and the others must
// mark it alive again.
func TestPausedMemberCatchesUpFirst(t *testing.T) {
	w := newNetwork(7)
	w.run(10 * time.Second)
	g := w.groups["vm-003"]
	w.paused["vm-003"] = true
	w.run(10 * time.Second)
	w.paused["vm-003"] = false
	g.Resume(w.now)
	if g.CaughtUp(w.now) {
		t.Fatal("it is caught up before a message of a peer arrived")
	}
	w.run(5 * time.Second)
	if !g.CaughtUp(w.now) || g.Self().Incarnation == 1 {
		t.Fatalf("caught up %v, incarnation %d", g.CaughtUp(w.now), g.Self().Incarnation)
	}
	w.expectStatus(t, "vm-003", wire.Alive)
}

// A VM is paused while heartbeats and answers wait in its socket. They say what its peers knew
// before the pause or during it, so that they must not let it decide on flows; an answer to a
// heartbeat that it sends after the pause does.
func TestWaitingMessagesCatchNobodyUp(t *testing.T) {
	w := newNetwork(2)
	w.run(10 * time.Second)
	g, peer := w.groups["vm-000"], w.groups["vm-001"]
	sent := g.ping(w.now, "vm-001")[0].Msg
	waiting := []*wire.Message{peer.ping(w.now, "vm-000")[0].Msg, peer.Receive(w.now, sent)[0].Msg}
	w.now += 5 * time.Second
	g.Resume(w.now)
	w.now += time.Millisecond
	for _, m := range waiting {
		g.Receive(w.now, m)
		if g.CaughtUp(w.now) {
			t.Errorf("caught up by a waiting %v", m.Kind)
		}
	}
	answer := peer.Receive(w.now, g.ping(w.now, "vm-001")[0].Msg)[0].Msg
	g.Receive(w.now, answer)
	if !g.CaughtUp(w.now) {
		t.Error("not caught up by an answer to a heartbeat after the pause")
	}
}

// Every fifth message is lost for a minute. No member may stay marked dead: false
// suspicions are refuted.
func TestMessageLossMarksNoMemberDead(t *testing.T) {
	w := newNetwork(7)
	w.run(10 * time.Second)
	n := 0
	w.lost = func(string, string) bool { n++; return n%5 == 0 }
	w.run(time.Minute)
	w.lost = func(string, string) bool { return false }
	w.run(10 * time.Second)
	for _, name := range w.names {
		w.expectStatus(t, name, wire.Alive)
	}
}

// Two data centres are partitioned for 15 s. Each part marks the members of the other
// dead; when the partition ends, all become alive again.
func TestPartitionHeals(t *testing.T) {
	w := newNetwork(8)
	w.run(10 * time.Second)
	side := func(n string) bool { return n < "vm-004" }
	w.lost = func(a, b string) bool { return side(a) != side(b) }
	w.run(15 * time.Second)
	for _, n := range w.names {
		for _, r := range w.groups[n].Members() {
			want := wire.Alive
			if side(n) != side(r.Name) {
				want = wire.Dead
			}
			if r.Status != want {
				t.Errorf("%s sees %s as %v during the partition", n, r.Name, r.Status)
			}
		}
	}
	w.lost = func(string, string) bool { return false }
	w.run(20 * time.Second)
	for _, name := range w.names {
		w.expectStatus(t, name, wire.Alive)
	}
}

// An operator stops a VM. All members must know within a second, so that no opening
// waits for a home that has stopped.
func TestLeavingIsKnownWithinASecond(t *testing.T) {
	w := newNetwork(7)
	w.run(10 * time.Second)
	w.groups["vm-002"].SetStatus(w.now, wire.Leaving)
	w.run(time.Second)
	w.expectStatus(t, "vm-002", wire.Leaving)
}

// A member's cost must not grow with the fleet: in a group of 600, a member has to keep
// within the bandwidth budget of a group of 7.
func TestCostIsBounded(t *testing.T) {
	var per [2]float64
	for i, n := range []int{14, 112} {
		w := newNetwork(n)
		w.run(100 * time.Second) // until the updates about the start of all members are no longer sent
		w.bytes = map[string]int{}
		w.run(20 * time.Second)
		total := 0
		for _, b := range w.bytes {
			total += b
		}
		per[i] = float64(total) / float64(n) / 20
	}
	t.Logf("payload bytes/s sent by a member: %.0f of 14, %.0f of 112", per[0], per[1])
	if per[1] > 1.5*per[0] {
		t.Fatalf("%.0f bytes/s at 14 members, %.0f at 112", per[0], per[1])
	}
}

package peer

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/internal/revision"
)

func member(vm, centre string, wide bool) Member {
	return Member{VM: vm, DataCenter: centre, Control: netip.MustParseAddrPort("10.0.0.1:1"), Wide: wide}
}

// fleetOf returns the fleet of self with all registered.
func fleetOf(self Member, all ...Member) *Fleet {
	f := NewFleet(self)
	for _, m := range all {
		f.Put("vm/"+m.VM, m)
	}
	return f
}

func TestRanks(t *testing.T) {
	all := []Member{member("a1", "a", false), member("a2", "a", true), member("b1", "b", false), member("b2", "b", false)}
	for _, c := range []struct {
		self                 Member
		rank, dataCenterRank int
		before               []string // members that rank before self
	}{
		{all[1], 0, 0, nil},
		{all[2], 0, 1, []string{"a2"}},
		{all[0], 1, 0, []string{"a2", "b1"}},
		{all[3], 1, 1, []string{"a2", "b1", "a1"}},
	} {
		f := fleetOf(c.self, all...)
		if f.Rank() != c.rank || f.DataCenterRank() != c.dataCenterRank {
			t.Errorf("%s: rank %d, data centre rank %d", c.self.VM, f.Rank(), f.DataCenterRank())
		}
		for _, m := range all {
			want := strings.Contains(fmt.Sprint(c.before), m.VM)
			if f.Before(m.VM) != want {
				t.Errorf("%s: Before(%s) is %v", c.self.VM, m.VM, f.Before(m.VM))
			}
		}
	}
}

// A balancer whose registration the store has not accepted must rank first, so that
// it reads the store for itself.
func TestUnregisteredBalancerRanksFirst(t *testing.T) {
	f := NewFleet(member("a1", "a", false))
	if f.Rank() != 0 || f.DataCenterRank() != 0 || f.Before("x") || !f.Small() {
		t.Error("a single balancer does not rank first")
	}
}

func TestRelaysOfLargeFleet(t *testing.T) {
	var all []Member
	for _, c := range []string{"a", "b", "c"} {
		for i := range 20 {
			all = append(all, member(fmt.Sprintf("%s%02d", c, i), c, i == 19))
		}
	}
	f := fleetOf(all[0], all...)
	if f.Small() || len(f.Near()) != 19 || len(f.Far()) != 40 || len(f.Relays()) != 4 {
		t.Errorf("small %v, near %d, far %d, relays %d", f.Small(), len(f.Near()), len(f.Far()), len(f.Relays()))
	}
	if f.Rank() != 1 {
		t.Errorf("rank %d, want 1 after the member with the wide link", f.Rank())
	}
	f.Remove("vm/a19")
	if f.Rank() != 0 {
		t.Errorf("rank %d after the first in rank was removed", f.Rank())
	}
}

func TestHeartbeatFitsADatagram(t *testing.T) {
	loads := map[direct.TargetID]direct.Load{}
	for i := range MaxLoads {
		loads[direct.TargetID(1)<<40+direct.TargetID(i)] = direct.Load{Flows: 1000, Busy: 20}
	}
	h := Heartbeat{From: strings.Repeat("x", 40), DataCenter: strings.Repeat("y", 20), Control: netip.MustParseAddrPort("10.200.200.200:65535"),
		Position: 1 << 40, Age: time.Hour, LastChange: 1 << 40, Reading: true, Loads: TargetLoads(loads), Version: 1 << 40, Arriving: true}
	for i := range MaxSuspected {
		h.Suspected = append(h.Suspected, 1<<40+uint64(i))
	}
	b, err := Encode(h)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > MaxMessage {
		t.Errorf("heartbeat of %d bytes, want at most %d", len(b), MaxMessage)
	}
	loads[1] = direct.Load{Flows: 1}
	if TargetLoads(loads) != nil {
		t.Error("loads beyond MaxLoads: want none, got a partial list")
	}
	var back Heartbeat
	if err := Decode(b, &back); err != nil || !reflect.DeepEqual(h, back) {
		t.Errorf("decoded %+v, %v", back, err)
	}
}

// Guards against congesting a reader's narrow link when all balancers of a data
// centre fetch a large catalogue.
func TestLargeCatalogueIsCompressed(t *testing.T) {
	var b strings.Builder
	for i := range 1840 {
		fmt.Fprintf(&b, `{"name":"r-a3h%04d","host":"198.18.%d.%d","prefix":"/8443/","type":"safe","timeoutMs":2500,"goalMs":150,"priority":2,"service":"huvo11a","maxAttempts":2},`, i*7919%10000, i/250, i%250)
	}
	items := []replica.Item{{Key: "catalogue", Value: []byte(b.String()), Revision: 9}}
	packed, err := Pack(items)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes packed to %d", b.Len(), len(packed))
	if len(packed) > b.Len()/8 {
		t.Errorf("%d bytes packed to %d, want at most an eighth", b.Len(), len(packed))
	}
	back, err := Unpack(packed)
	if err != nil || !reflect.DeepEqual(back, items) {
		t.Errorf("unpacked items differ: %v", err)
	}
	if _, err := Unpack(packed[:len(packed)/2]); err == nil {
		t.Error("a truncated message was accepted")
	}
}

func TestPackerPacksOnce(t *testing.T) {
	var p Packer
	items := []replica.Item{{Key: "a", Value: []byte("1"), Revision: 1}}
	at := revision.Revision{Era: 1, Number: 1}
	x, _ := p.Pack(true, items, at)
	y, _ := p.Pack(true, items, at)
	if &x[0] != &y[0] {
		t.Error("the same items were packed twice")
	}
	z, _ := p.Pack(true, append(items, replica.Item{Key: "b", Revision: 2}), at.At(2))
	if back, _ := Unpack(z); len(back) != 2 {
		t.Errorf("%d items after a change", len(back))
	}
	later := []replica.Item{{Key: "a", Value: []byte("2"), Revision: 1}}
	z, _ = p.Pack(true, later, revision.Revision{Era: 2, Number: 1})
	if back, _ := Unpack(z); string(back[0].Value) != "2" {
		t.Error("the cache returned the item of an earlier era with the same revision number")
	}
}

func FuzzDecodeHeartbeat(f *testing.F) {
	b, err := Encode(Heartbeat{From: "a", Loads: []TargetLoad{{ID: 1, Flows: 2, Busy: 3}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var h Heartbeat
		if Decode(b, &h) == nil && len(h.Loads) > len(b) {
			t.Error("more loads than bytes")
		}
	})
}

func BenchmarkListingOfMembers(b *testing.B) {
	for range b.N {
		f := NewFleet(member("a000", "a", false))
		for i := range 600 {
			f.Put(fmt.Sprint("vm/", i), member(fmt.Sprintf("a%03d", i), string(rune('a'+i%11)), false))
		}
		f.Rank()
	}
}

// A heartbeat carries the targets with the most failures, and the receiver decodes
// the sender's counts.
func TestOutcomesOfAHeartbeat(t *testing.T) {
	sent := map[direct.TargetID]direct.Outcome{}
	for i := range 2 * MaxOutcomes {
		sent[direct.TargetID(i+1)] = direct.Outcome{Good: 7.5, Bad: float64(i + 1)}
	}
	b, err := Encode(Heartbeat{Outcomes: TargetOutcomes(sent)})
	if err != nil {
		t.Fatal(err)
	}
	var h Heartbeat
	if err := Decode(b, &h); err != nil {
		t.Fatal(err)
	}
	if len(h.Outcomes) != MaxOutcomes {
		t.Fatalf("%d outcomes", len(h.Outcomes))
	}
	for i, o := range h.Outcomes {
		want := direct.Outcome{Good: 7.5, Bad: float64(2*MaxOutcomes - i)}
		if o.Outcome() != want {
			t.Errorf("%d: %+v, want %+v", i, o.Outcome(), want)
		}
	}
}

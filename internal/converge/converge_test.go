package converge

import (
	"fmt"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/wire"
)

func version(name string, index uint64) catalogue.Version {
	text := fmt.Sprintf("name = %q\nowner = \"kavango\"\nnumber = %d\n[limits]\nslots = 2\nconnections = 9\n[[address]]\naddress = \"203.0.113.1:%d\"\nclass = \"stream\"\n", name, name[0], name[0])
	return catalogue.Version{Name: name, Index: index, Created: 1, Text: []byte(text)}
}

func anyName(string) bool { return true }

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("vm-%d", i))
	}
	return out
}

// deliver passes messages between members until none is left, and returns their number.
func deliver(cs map[string]*Catalogue, out []Send, lost func(Send) bool) int {
	all := names(len(cs))
	n := 0
	for len(out) > 0 {
		s := out[0]
		out = out[1:]
		n++
		if lost(s) {
			continue
		}
		more, _, _ := cs[s.To].Accept(s.Msg.Versions, s.Msg.From, all)
		out = append(out, more...)
	}
	return n
}

func fleet(n int) map[string]*Catalogue {
	cs := map[string]*Catalogue{}
	for i, name := range names(n) {
		cs[name] = New(name, uint64(i))
	}
	return cs
}

// heartbeats sends one heartbeat from every member to every other one and exchanges the
// resulting pulls and pushes.
func heartbeats(cs map[string]*Catalogue, now time.Duration) {
	for _, a := range names(len(cs)) {
		for _, b := range names(len(cs)) {
			m := &wire.Message{From: b}
			cs[b].Stamp(m)
			for _, pull := range cs[a].Compare(now, m) {
				for _, push := range cs[pull.To].Answer(pull.Msg) {
					cs[a].Accept(push.Msg.Versions, push.Msg.From, nil)
				}
			}
			now += time.Second
		}
	}
}

// countInForce returns the number of members that have the version index of an entry.
func countInForce(cs map[string]*Catalogue, name string, index uint64) int {
	n := 0
	for _, c := range cs {
		if v, ok := c.Versions().Get(name); ok && v.Index == index {
			n++
		}
	}
	return n
}

// One reader receives a changed entry. Without loss, pushes alone bring it to nearly all
// of 55 members; heartbeats bring it to the rest, and to all when half of the pushes are
// lost.
func TestChangeReachesAll(t *testing.T) {
	for _, loss := range []int{0, 2} {
		cs := fleet(55)
		out, _, _ := cs["vm-0"].Accept([]catalogue.Version{version("a", 7)}, "", names(55))
		n := 0
		messages := deliver(cs, out, func(Send) bool { n++; return loss > 0 && n%loss == 0 })
		pushed := countInForce(cs, "a", 7)
		heartbeats(cs, time.Second)
		if got := countInForce(cs, "a", 7); got != 55 {
			t.Fatalf("%d of 55 have the version", got)
		}
		t.Logf("%d had the version after %d pushes", pushed, messages)
	}
}

// After the store is restored from a backup, its index and its entries are older. The
// next listing must not revert or delete any entry.
func TestListingOfRestoredStoreChangesNothing(t *testing.T) {
	c := New("vm-0", 1)
	c.Accept(c.VersionsFromListing(20, []catalogue.Version{version("a", 12), version("b", 20)}, anyName), "", nil)
	before := c.Versions().Digest()
	c.Accept(c.VersionsFromListing(11, []catalogue.Version{version("a", 10)}, anyName), "", nil)
	if c.Versions().Digest() != before {
		t.Fatal("the listing of a restored store changed the catalogue")
	}
}

// An entry is deleted while one member is partitioned. Afterwards that member must
// delete the entry too, and not bring it back at the others.
func TestDeletionSurvivesPartition(t *testing.T) {
	cs := fleet(2)
	for _, c := range cs {
		c.Accept([]catalogue.Version{version("a", 12), version("b", 13)}, "", nil)
	}
	cs["vm-0"].Accept(cs["vm-0"].VersionsFromListing(30, []catalogue.Version{version("b", 13)}, anyName), "", nil)
	heartbeats(cs, time.Second)
	heartbeats(cs, time.Hour)
	for n, c := range cs {
		if ss, _ := c.Versions().Services(); len(ss) != 1 || ss[0].Name != "b" {
			t.Errorf("%s has %d entries, want only b", n, len(ss))
		}
	}
}

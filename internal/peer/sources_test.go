package peer

import (
	"net/netip"
	"slices"
	"testing"
)

func TestBootstrapSourcesAreTheFirstInRank(t *testing.T) {
	var all []Member
	for i, wide := range []bool{false, false, true, false, true} {
		m := member(string(rune('a'+i)), "x", wide)
		m.Control = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		all = append(all, m)
	}
	all = append(all, member("far", "y", true))
	want := []netip.AddrPort{all[2].Control, all[4].Control, all[0].Control}
	for _, self := range all[:5] {
		if s := fleetOf(self, all...).BootstrapSources(); !slices.Equal(s.Balancers, want) || s.Size != 5 {
			t.Errorf("%s: sources %v of %d, want %v of 5", self.VM, s.Balancers, s.Size, want)
		}
	}
	if s := NewFleet(all[0]).BootstrapSources(); len(s.Balancers) != 1 || s.Size != 1 {
		t.Errorf("alone: %v of %d", s.Balancers, s.Size)
	}
}

func TestBootstrapSourcesAreWrittenOnlyIfTheyChange(t *testing.T) {
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	current := BootstrapSources{[]netip.AddrPort{a, b}, 60}
	for _, c := range []struct {
		stored   BootstrapSources
		upToDate bool
	}{
		{current, true},
		{BootstrapSources{[]netip.AddrPort{a, b}, 50}, true},
		{BootstrapSources{[]netip.AddrPort{a, b}, 30}, false},
		{BootstrapSources{[]netip.AddrPort{a, b}, 90}, false},
		{BootstrapSources{[]netip.AddrPort{b, a}, 60}, false},
		{BootstrapSources{}, false},
	} {
		if c.stored.UpToDate(current) != c.upToDate {
			t.Errorf("%v up to date for %v: %v", c.stored, current, !c.upToDate)
		}
	}
}

// Guards against a starting balancer that waits for bootstrap sources that do not
// exist, because another program wrote an invalid record.
func TestInvalidBootstrapSources(t *testing.T) {
	good, err := Encode(BootstrapSources{[]netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}, 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeBootstrapSources(good); err != nil {
		t.Error(err)
	}
	for _, bad := range []BootstrapSources{{}, {Balancers: []netip.AddrPort{{}}, Size: 1}, {Balancers: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}}} {
		b, err := Encode(bad)
		if err != nil {
			t.Fatal(err)
		}
		if s, err := DecodeBootstrapSources(b); err == nil {
			t.Errorf("invalid record %v was accepted", s)
		}
	}
	if _, err := DecodeBootstrapSources([]byte("no CBOR")); err == nil {
		t.Error("a record that is no CBOR was accepted")
	}
}

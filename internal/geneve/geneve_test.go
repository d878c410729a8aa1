package geneve

import (
	"bytes"
	"net/netip"
	"testing"
)

func TestRoundTrip(t *testing.T) {
	hop := Hop{Kind: Answer, Count: 2, Flags: FlagFormer, Target: netip.MustParseAddr("127.10.1.3")}
	for _, h := range []*Hop{nil, &hop} {
		inner := []byte{0x60, 1, 2, 3}
		d, err := Parse(Append(nil, 101, h, inner))
		if err != nil || d.VNI != 101 || !bytes.Equal(d.Inner, inner) || d.HasHop != (h != nil) {
			t.Fatalf("%+v %v", d, err)
		}
		if h != nil && (d.Hop.Target != hop.Target || d.Hop.Kind != Answer || d.Hop.Count != 2 || d.Hop.Flags != FlagFormer) {
			t.Fatalf("hop %+v", d.Hop)
		}
	}
}

// A newer version may make the option longer; this one must read the part that
// it knows.
func TestLongerOptionOfNextVersion(t *testing.T) {
	b := Append(nil, 101, &Hop{Kind: Ask, Count: 1}, nil)
	b[0] += 2
	b[HeaderLen+3] += 2
	b[HeaderLen+optionHead] = HopVersion + 1
	b = append(b, 1, 2, 3, 4, 5, 6, 7, 8)
	d, err := Parse(b)
	if err != nil || d.Hop.Kind != Ask || len(d.Inner) != 0 {
		t.Fatalf("%+v %v", d, err)
	}
}

func TestMalformed(t *testing.T) {
	good := Append(nil, 1, &Hop{Kind: Ask}, []byte{0x45})
	edit := func(f func(b []byte)) []byte {
		b := append([]byte(nil), good...)
		f(b)
		return b
	}
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{
		"short":            {good[:7], ErrShort},
		"options cut":      {good[:20], ErrShort},
		"version":          {edit(func(b []byte) { b[0] |= 0x40 }), ErrVersion},
		"control":          {edit(func(b []byte) { b[1] |= 0x80 }), ErrCritical},
		"ethernet":         {edit(func(b []byte) { b[2], b[3] = 0x65, 0x58 }), ErrProtocol},
		"option too long":  {edit(func(b []byte) { b[HeaderLen+3] = 0x1f }), ErrOption},
		"option too short": {edit(func(b []byte) { b[HeaderLen+3] = 1 }), ErrOption},
		"foreign critical": {edit(func(b []byte) { b[HeaderLen] = 1 }), ErrCritical},
	} {
		if _, err := Parse(c.b); err != c.want {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Append(nil, 1, nil, []byte{0x45}))
	f.Add(Append(nil, MaxVNI, &Hop{Kind: Answer, Target: netip.MustParseAddr("::1")}, []byte{0x60}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if d, err := Parse(b); err == nil && d.VNI > MaxVNI {
			t.Fatalf("VNI %d", d.VNI)
		}
	})
}

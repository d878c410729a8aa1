package packet

import (
	"net/netip"
	"testing"

	"gvisor.dev/gvisor/pkg/tcpip/header"
)

var (
	a4 = netip.MustParseAddrPort("198.51.100.1:40000")
	b4 = netip.MustParseAddrPort("203.0.113.10:80")
	a6 = netip.MustParseAddrPort("[2001:db8::1]:40000")
	b6 = netip.MustParseAddrPort("[2001:db8::10]:80")
)

// Checks that built packets parse to the same fields, and that resets have the
// numbers that RFC 9293 requires.
func TestResetAnswers(t *testing.T) {
	for _, x := range [][2]netip.AddrPort{{a4, b4}, {a6, b6}} {
		syn, err := Parse(Build(x[0], x[1], 100, 0, header.TCPFlagSyn, nil))
		if err != nil {
			t.Fatal(err)
		}
		r, err := Parse(ResetTo(&syn))
		if err != nil || r.Src != x[1] || r.Ack != 101 || !r.IsReset() || !r.HasAck() {
			t.Fatalf("reset to an opening: %+v %v", r, err)
		}
		data, _ := Parse(Build(x[0], x[1], 101, 900, header.TCPFlagAck, []byte("note")))
		if data.PayloadLen != 4 {
			t.Fatalf("payload of %d bytes, want 4", data.PayloadLen)
		}
		if r, _ = Parse(ResetTo(&data)); r.Seq != 900 || r.HasAck() {
			t.Fatalf("reset to data: %+v", r)
		}
		if r, _ = Parse(ResetAlong(&syn)); r.Seq != 101 || r.Dst != x[1] {
			t.Fatalf("reset along an opening: %+v", r)
		}
	}
}

func TestRefusedPackets(t *testing.T) {
	good := Build(a4, b4, 1, 1, header.TCPFlagAck, []byte("x"))
	edit := func(f func(b []byte)) []byte {
		b := append([]byte(nil), good...)
		f(b)
		return b
	}
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{
		"empty":         {nil, ErrShort},
		"version":       {edit(func(b []byte) { b[0] = 0x55 }), ErrVersion},
		"truncated":     {good[:30], ErrLength},
		"trailing":      {append(append([]byte(nil), good...), 0), ErrLength},
		"fragment":      {edit(func(b []byte) { b[7] = 1 }), ErrFragment},
		"udp":           {edit(func(b []byte) { b[9] = 17 }), ErrProtocol},
		"header length": {edit(func(b []byte) { b[0] = 0x41 }), ErrLength},
		"data offset":   {edit(func(b []byte) { b[32] = 0xf0 }), ErrTCP},
	} {
		if _, err := Parse(c.b); err != c.want {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Build(a4, b4, 1, 1, header.TCPFlagAck, []byte("x")))
	f.Add(Build(a6, b6, 1, 1, header.TCPFlagSyn, nil))
	f.Add([]byte{0x45})
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err != nil {
			return
		}
		if _, err := Parse(ResetTo(&s)); err != nil {
			t.Fatalf("the reset does not parse: %v", err)
		}
	})
}

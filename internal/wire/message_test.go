package wire

import (
	"net/netip"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func TestRoundTrip(t *testing.T) {
	m := &Message{
		Kind: Handover, From: "vm-a", Seq: 7, Digest: 9,
		Updates:           []Record{{Name: "vm-b", Data: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 3, Status: Leaving}},
		TargetConnections: []TargetConnections{{Target: 1, Connections: 2}},
		Health:            []Health{{Target: 1, Checker: 2, Seq: 3, Healthy: true, Load: 40}},
		Flows:             []Flow{{Caller: netip.MustParseAddrPort("198.51.100.1:2"), Target: netip.MustParseAddr("::1"), Opening: []byte{1}}},
		Ended:             []Flow{{Caller: netip.MustParseAddrPort("198.51.100.1:3"), Target: netip.MustParseAddr("::1"), Seq: 4}},
	}
	b, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(b)
	if err != nil || !reflect.DeepEqual(m, got) {
		t.Fatalf("%+v\n%+v\n%v", m, got, err)
	}
}

// During an upgrade, a balancer of the next version sends unknown fields. The known ones
// must still be decoded.
func TestDecodeMessageOfNextVersion(t *testing.T) {
	next := map[int]any{1: Version + 1, 2: Ping, 3: "vm-a", 4: 7, 90: "a new field", 91: map[string]int{"x": 1},
		6: []map[int]any{{1: "vm-b", 5: 4, 6: Alive, 50: "new"}}}
	b, err := cbor.Marshal(next)
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if m.Kind != Ping || m.Seq != 7 || len(m.Updates) != 1 || m.Updates[0].Incarnation != 4 {
		t.Fatalf("%+v", m)
	}
}

func TestUnsupportedVersionIsRejected(t *testing.T) {
	b, _ := cbor.Marshal(map[int]any{1: MinVersion - 1, 2: Ping})
	if _, err := Decode(b); err != ErrVersion {
		t.Fatal(err)
	}
}

func FuzzDecode(f *testing.F) {
	b, _ := Encode(&Message{Kind: Ping, From: "vm-a", TargetConnections: []TargetConnections{{Target: 1}}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := Decode(b); err == nil {
			if _, err := Encode(m); err != nil {
				t.Fatal(err)
			}
		}
	})
}

package peer

import (
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/replica"
)

// A fleet is upgraded one VM at a time, so messages of the first version, kept in
// testdata, must still decode to the same values.
func TestDecodeMessagesOfFirstVersion(t *testing.T) {
	control := netip.MustParseAddrPort("10.0.0.1:17002")
	var h Heartbeat
	decodeFile(t, "heartbeat.cbor", &h)
	want := Heartbeat{From: "vm-1", DataCenter: "a", Control: control, Position: 4711, Age: 250 * time.Millisecond, LastChange: 4700,
		Reading: true, Loads: []TargetLoad{{ID: 0xa000000001, Flows: 3, Busy: 1}}, Suspected: []uint64{0xa000000002}, Version: 9, Leaving: true}
	if !reflect.DeepEqual(h, want) {
		t.Errorf("heartbeat %+v, want %+v", h, want)
	}
	var m Member
	decodeFile(t, "member.cbor", &m)
	if want := (Member{VM: "vm-1", DataCenter: "a", Control: control, Wide: true, Lease: 77}); m != want {
		t.Errorf("member %+v, want %+v", m, want)
	}
	var c Changes
	decodeFile(t, "changes.cbor", &c)
	items, err := Unpack(c.Packed)
	if err != nil {
		t.Fatal(err)
	}
	wantItems := []replica.Item{
		{Key: "servers/i-a000000001", Value: []byte(`{"service":"catalogue"}`), Revision: 4700},
		{Key: "rosedale/vm/x", Revision: 4711, Deleted: true},
	}
	if !c.Full || c.Position != 4711 || c.Age != time.Second || !reflect.DeepEqual(items, wantItems) {
		t.Errorf("changes %+v with %+v", c, items)
	}
}

// heartbeatV1 is the heartbeat of the first version. Don't change it.
type heartbeatV1 struct {
	From       string         `cbor:"1,keyasint"`
	DataCenter string         `cbor:"2,keyasint"`
	Control    netip.AddrPort `cbor:"3,keyasint"`
	Position   int64          `cbor:"4,keyasint"`
	Age        time.Duration  `cbor:"5,keyasint"`
	LastChange int64          `cbor:"6,keyasint"`
	Reading    bool           `cbor:"7,keyasint"`
	Loads      []useV1        `cbor:"8,keyasint,omitempty"`
	Suspected  []uint64       `cbor:"9,keyasint,omitempty"`
	Version    int64          `cbor:"10,keyasint"`
	Leaving    bool           `cbor:"11,keyasint,omitempty"`
}

type useV1 struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Flows int
	Busy  int
}

// A balancer of the first version must decode the heartbeats of an upgraded one.
func TestFirstVersionDecodesCurrentHeartbeats(t *testing.T) {
	sent := Heartbeat{From: "vm-2", DataCenter: "b", Control: netip.MustParseAddrPort("10.0.0.2:17002"), Position: 5, Age: time.Second, LastChange: 4,
		Reading: true, Loads: []TargetLoad{{ID: 7, Flows: 1, Busy: 2}}, Suspected: []uint64{8}, Version: 3, Leaving: true,
		History: 2, Dead: []int{0}, Era: 2, Settling: time.Second, Arriving: true, Outcomes: TargetOutcomes(map[direct.TargetID]direct.Outcome{7: {Good: 1, Bad: 2}})}
	b, err := Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	var got heartbeatV1
	if err := Decode(b, &got); err != nil {
		t.Fatal(err)
	}
	want := heartbeatV1{sent.From, sent.DataCenter, sent.Control, sent.Position, sent.Age, sent.LastChange, true, []useV1{{ID: 7, Flows: 1, Busy: 2}}, []uint64{8}, 3, true}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
}

func decodeFile(t *testing.T, name string, into any) {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "v1", name))
	if err != nil {
		t.Fatal(err)
	}
	if err := Decode(b, into); err != nil {
		t.Fatal(err)
	}
}

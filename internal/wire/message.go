// Package wire defines the control messages between the balancers of rosedaled; those of
// rosedale-edge are in package peer. They are CBOR maps with integer keys. Receivers
// ignore unknown keys, so that two versions of the daemon can run side by side during an
// upgrade.
package wire

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/catalogue"
)

// Version is the protocol version of this build, and MinVersion the oldest one that it
// accepts.
const (
	Version    = 1
	MinVersion = 1
)

// Kind is the purpose of a message.
type Kind uint8

// Kinds of messages.
const (
	Ping     Kind = iota + 1 // heartbeat; answered by Ack
	Ack                      // answers Ping
	PingReq                  // asks the receiver to ping Target for the sender
	Gossip                   // member records and findings that should not wait for a heartbeat
	Pull                     // asks for catalogue versions and member records
	Push                     // carries catalogue versions
	Handover                 // carries flows to their new home
	kinds
)

// Kinds is one more than the highest kind.
const Kinds = int(kinds)

var kindNames = [Kinds]string{"none", "ping", "ack", "ping_req", "gossip", "pull", "push", "handover"}

// String returns the kind's name in counters.
func (k Kind) String() string {
	if int(k) < Kinds {
		return kindNames[k]
	}
	return "unknown"
}

// Status is the state of a member. Of two records with the same incarnation, the one with
// the higher status is in force.
type Status uint8

// Statuses of members.
const (
	Starting Status = iota + 1 // the catalogue is not complete; home of no flows
	Alive
	Suspect // missed heartbeats; still pinged, but home of no flows
	Leaving // planned stop; forwards packets, but home of no flows
	Dead
	Left
)

// String returns the status name in logs and in the operators' view.
func (s Status) String() string {
	names := [...]string{"none", "starting", "alive", "suspect", "leaving", "dead", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Record is an entry of the member list.
type Record struct {
	Name        string         `cbor:"1,keyasint"`
	DataCenter  string         `cbor:"2,keyasint"`
	Data        netip.AddrPort `cbor:"3,keyasint"` // address for forwarded packets
	Control     netip.AddrPort `cbor:"4,keyasint"` // address for control messages
	Incarnation uint64         `cbor:"5,keyasint"` // raised only by the member itself, also at each start; 0 for a seed that never answered
	Status      Status         `cbor:"6,keyasint"`
	Admin       netip.AddrPort `cbor:"7,keyasint"` // address of the operators' interface
}

// TargetConnections is the number of stream connections of the sender's flows to a target,
// which is identified by its TargetHash.
type TargetConnections struct {
	_           struct{} `cbor:",toarray"`
	Target      uint32
	Connections uint32
}

// Health is a checker's latest finding about a target. Target is its TargetHash, and
// Checker a hash of the checker's name. Load is in percent of the target's capacity, at most
// 250.
type Health struct {
	_       struct{} `cbor:",toarray"`
	Target  uint32
	Checker uint32
	Seq     uint32 // Unix time at the checker in seconds; grows with each finding
	Healthy bool
	Load    uint8
}

// Flow is a flow that is handed over to its new home. Opening contains the caller's opening
// packet until a target has accepted it.
type Flow struct {
	Caller  netip.AddrPort `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Target  netip.Addr     `cbor:"3,keyasint"`
	Seq     uint32         `cbor:"4,keyasint"`           // see flow.Entry
	State   uint8          `cbor:"5,keyasint"`           // a flow.State
	Wait    uint32         `cbor:"6,keyasint,omitempty"` // milliseconds left until the admission deadline
	Opening []byte         `cbor:"7,keyasint,omitempty"`
	Lost    []netip.Addr   `cbor:"8,keyasint,omitempty"` // targets that left the opening unanswered
}

// Message is a message of any kind. Empty optional fields are not encoded.
type Message struct {
	Version           uint8               `cbor:"1,keyasint"`
	Kind              Kind                `cbor:"2,keyasint"`
	From              string              `cbor:"3,keyasint"`
	Seq               uint32              `cbor:"4,keyasint,omitempty"` // Ping, PingReq and Ack: sequence number of the ping
	Target            string              `cbor:"5,keyasint,omitempty"` // PingReq and its Ack: name of the pinged member
	Updates           []Record            `cbor:"6,keyasint,omitempty"` // member records: changes, or all of them after the digests of the lists differed
	Digest            uint64              `cbor:"7,keyasint,omitempty"` // of the catalogue
	High              uint64              `cbor:"8,keyasint,omitempty"` // highest catalogue index
	Members           uint64              `cbor:"9,keyasint,omitempty"` // digest of the member list
	TargetConnections []TargetConnections `cbor:"10,keyasint,omitempty"`
	Health            []Health            `cbor:"11,keyasint,omitempty"`
	Above             uint64              `cbor:"12,keyasint,omitempty"` // Pull: versions above this index
	Have              map[string]uint64   `cbor:"13,keyasint,omitempty"` // Pull: the sender's index of each catalogue entry
	Full              bool                `cbor:"14,keyasint,omitempty"` // Pull: Have lists all entries; Above is not used
	Versions          []catalogue.Version `cbor:"15,keyasint,omitempty"`
	Flows             []Flow              `cbor:"16,keyasint,omitempty"`
	Ended             []Flow              `cbor:"17,keyasint,omitempty"` // Handover: flows that ended at the sender lately
}

// ErrVersion is returned for a message of a version below MinVersion.
var ErrVersion = errors.New("wire: unsupported protocol version")

// MaxSize is the maximum size of an encoded message in bytes.
const MaxSize = 8 << 20

var (
	encMode, _ = cbor.EncOptions{}.EncMode()
	decMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 16}.DecMode()
)

// Encode sets the version of m to that of this build and returns the encoded message.
func Encode(m *Message) ([]byte, error) {
	m.Version = Version
	b, err := encMode.Marshal(m)
	return b, errors.Wrap(err, "wire: encode message")
}

// Decode decodes a message of any version from MinVersion on.
func Decode(b []byte) (*Message, error) {
	var m Message
	if err := decMode.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "wire: decode message")
	}
	if m.Version < MinVersion {
		return nil, ErrVersion
	}
	return &m, nil
}

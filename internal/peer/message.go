// Package peer defines the messages between the balancers of rosedale-edge and the
// ranking of balancers in a fleet. Heartbeats, each a single datagram, carry the
// replica position, the loads of targets, request outcomes and suspected targets;
// changes of the replica travel over HTTP.
package peer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/revision"
)

// Limits of a heartbeat, which has to fit one datagram on any link.
const (
	// MaxMessage is the maximum length of an encoded heartbeat in bytes.
	MaxMessage = 1200
	// MaxLoads is the maximum number of targets whose loads it carries.
	MaxLoads = 50
	// MaxSuspected is the maximum number of suspected targets.
	MaxSuspected = 40
	// MaxOutcomes is the maximum number of targets with request outcomes.
	MaxOutcomes = 16
)

// Heartbeat carries a balancer's replica position, the loads that its flows put on
// targets, the outcomes of its requests, and the targets that it suspects.
type Heartbeat struct {
	From       string         `cbor:"1,keyasint"`
	DataCenter string         `cbor:"2,keyasint"`
	Control    netip.AddrPort `cbor:"3,keyasint"`
	// Position is the number of the revision up to which the sender's replica is
	// complete. Age is the time since the sender last knew that to be current.
	Position int64         `cbor:"4,keyasint"`
	Age      time.Duration `cbor:"5,keyasint"`
	// LastChange is the revision of the last change that affected the replica. A
	// peer that has it needs no changes from the sender.
	LastChange int64 `cbor:"6,keyasint"`
	// Reading is set if the sender itself reads the store successfully.
	Reading bool         `cbor:"7,keyasint"`
	Loads   []TargetLoad `cbor:"8,keyasint,omitempty"`
	// Suspected lists the targets that failed the sender's last check.
	Suspected []uint64 `cbor:"9,keyasint,omitempty"`
	Version   int64    `cbor:"10,keyasint"` // of the catalogue in force
	// Leaving is set during the sender's planned stop.
	Leaving bool `cbor:"11,keyasint,omitempty"`
	// Outcomes are the results of the sender's recent requests, for targets that
	// failed some of them.
	Outcomes []TargetOutcome `cbor:"12,keyasint,omitempty"`
	// History is the revision after which the sender has kept all changes that
	// affected the replica. Balancers of the first version omit it and keep all.
	History int64 `cbor:"13,keyasint,omitempty"`
	// Dead lists the indexes in Suspected of the targets that the sender's checks
	// found dead while its callers were waiting for them.
	Dead []int `cbor:"14,keyasint,omitempty"`
	// Era is the era of the store to which all revisions in this message belong.
	// Balancers of earlier versions omit it.
	Era int64 `cbor:"15,keyasint,omitempty"`
	// Settling is the remaining settling time after the store was restored from an older
	// copy, in which entries written after that copy may be missing.
	Settling time.Duration `cbor:"16,keyasint,omitempty"`
	// Arriving is set while parts of a response of the store arrive at the sender, which may
	// take long over a slow link.
	Arriving bool `cbor:"17,keyasint,omitempty"`
}

// Revision returns the revision up to which the sender's replica is complete.
func (h Heartbeat) Revision() revision.Revision {
	return revision.Revision{Era: h.Era, Number: h.Position}
}

// TargetLoad is the number of the sender's flows and in-flight requests at a target.
// It is encoded as an array to keep heartbeats short.
type TargetLoad struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Flows int
	Busy  int
}

// TargetOutcome counts the sender's recent successful and failed requests to a
// target, in tenths of a request.
type TargetOutcome struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Good int
	Bad  int
}

// outcomeScale is the number of units of a TargetOutcome in one request.
const outcomeScale = 10

// TargetOutcomes converts outcomes for a heartbeat. If there are more than
// MaxOutcomes, it takes the targets with the most failures.
func TargetOutcomes(outcomes map[direct.TargetID]direct.Outcome) []TargetOutcome {
	out := make([]TargetOutcome, 0, len(outcomes))
	for id, o := range outcomes {
		out = append(out, TargetOutcome{ID: uint64(id), Good: int(o.Good * outcomeScale), Bad: int(o.Bad * outcomeScale)})
	}
	slices.SortFunc(out, func(a, b TargetOutcome) int { return cmp.Or(b.Bad-a.Bad, cmp.Compare(a.ID, b.ID)) })
	return out[:min(len(out), MaxOutcomes)]
}

// Outcome converts t back to an outcome in requests.
func (t TargetOutcome) Outcome() direct.Outcome {
	return direct.Outcome{Good: float64(t.Good) / outcomeScale, Bad: float64(t.Bad) / outcomeScale}
}

// Changes is the answer to a balancer whose replica is behind.
type Changes struct {
	Full     bool          `cbor:"1,keyasint"`           // Packed holds the whole replica rather than changes
	Packed   []byte        `cbor:"2,keyasint"`           // items; see Pack
	Position int64         `cbor:"3,keyasint"`           // as in Heartbeat, after the changes
	Age      time.Duration `cbor:"4,keyasint"`           // as in Heartbeat
	Era      int64         `cbor:"5,keyasint,omitempty"` // era of the store of all revisions in this message
}

// Revision returns the revision up to which a replica is complete after the changes.
func (c *Changes) Revision() revision.Revision {
	return revision.Revision{Era: c.Era, Number: c.Position}
}

// Encode encodes a message.
func Encode(m any) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Wrap(err, "peer: encode")
}

// Decode decodes a message into the value that into points to.
func Decode(b []byte, into any) error {
	return errors.Wrap(cbor.Unmarshal(b, into), "peer: decode")
}

// TargetLoads converts loads for a heartbeat. It returns nil if there are more than
// MaxLoads, because targets missing from a partial list would look idle to peers.
func TargetLoads(loads map[direct.TargetID]direct.Load) []TargetLoad {
	if len(loads) > MaxLoads {
		return nil
	}
	out := make([]TargetLoad, 0, len(loads))
	for id, l := range loads {
		out = append(out, TargetLoad{ID: uint64(id), Flows: l.Flows, Busy: l.Busy})
	}
	return out
}

// Package peer carries what balancers tell one another: heartbeats with their
// copy's position, loads and findings as single datagrams, and changes of the
// copy over HTTP.
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

// Bounds of a heartbeat, which is one datagram on any link.
const (
	// MaxMessage is its length in bytes.
	MaxMessage = 1200
	// MaxUses is the number of targets whose loads it holds.
	MaxUses = 50
	// MaxSuspected is the number of suspected targets that it holds.
	MaxSuspected = 40
	// MaxOutcomes is the number of failing targets that it holds.
	MaxOutcomes = 16
)

// Heartbeat says what a balancer knows and what its flows hold.
type Heartbeat struct {
	From       string         `cbor:"1,keyasint"`
	DataCenter string         `cbor:"2,keyasint"`
	Control    netip.AddrPort `cbor:"3,keyasint"`
	// Position is the revision up to which the sender's copy is complete, and
	// Age how long ago that was known to be current.
	Position int64         `cbor:"4,keyasint"`
	Age      time.Duration `cbor:"5,keyasint"`
	// LastChange is the revision of the last change that matters: a copy that
	// has it needs nothing from the sender.
	LastChange int64 `cbor:"6,keyasint"`
	// Reading says that the sender itself reads the store with success.
	Reading bool        `cbor:"7,keyasint"`
	Loads   []TargetUse `cbor:"8,keyasint,omitempty"`
	// Suspected are targets that failed the sender's last check of them.
	Suspected []uint64 `cbor:"9,keyasint,omitempty"`
	Version   int64    `cbor:"10,keyasint"` // of the catalogue in force
	// Leaving says that the sender stops and its flows move to others.
	Leaving bool `cbor:"11,keyasint,omitempty"`
	// Outcomes are of the sender's requests at targets that failed some.
	Outcomes []TargetOutcome `cbor:"12,keyasint,omitempty"`
	// History is the revision after which the sender knows all changes that
	// mattered. Balancers of the first version leave it out, and know all.
	History int64 `cbor:"13,keyasint,omitempty"`
	// Dead are those of Suspected, by their places there, that the sender's checks
	// found dead while its callers waited for them.
	Dead []int `cbor:"14,keyasint,omitempty"`
	// Era is that of the store to which all revisions here belong. Balancers of earlier
	// versions leave it out.
	Era int64 `cbor:"15,keyasint,omitempty"`
	// Settling is for how long the sender still expects that the store, back from an older
	// copy, lacks what was written since.
	Settling time.Duration `cbor:"16,keyasint,omitempty"`
}

// Revision returns the one up to which the sender's copy is complete.
func (h Heartbeat) Revision() revision.Revision {
	return revision.Revision{Era: h.Era, Number: h.Position}
}

// TargetUse is what the sender's flows hold at a target, as an array to keep
// heartbeats short.
type TargetUse struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Flows int
	Busy  int
}

// TargetOutcome is how the sender's recent requests to a target ended, in tenths
// of a request.
type TargetOutcome struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Good int
	Bad  int
}

// tenths of a request make the unit of TargetOutcome.
const tenths = 10

// TargetOutcomes converts outcomes for a heartbeat, the worst ones if there are
// too many.
func TargetOutcomes(outcomes map[direct.TargetID]direct.Outcome) []TargetOutcome {
	out := make([]TargetOutcome, 0, len(outcomes))
	for id, o := range outcomes {
		out = append(out, TargetOutcome{ID: uint64(id), Good: int(o.Good * tenths), Bad: int(o.Bad * tenths)})
	}
	slices.SortFunc(out, func(a, b TargetOutcome) int { return cmp.Or(b.Bad-a.Bad, cmp.Compare(a.ID, b.ID)) })
	return out[:min(len(out), MaxOutcomes)]
}

// Outcome converts it back.
func (t TargetOutcome) Outcome() direct.Outcome {
	return direct.Outcome{Good: float64(t.Good) / tenths, Bad: float64(t.Bad) / tenths}
}

// Changes answers a balancer that lags.
type Changes struct {
	Full     bool          `cbor:"1,keyasint"` // all items rather than changes
	Packed   []byte        `cbor:"2,keyasint"` // items; see Pack
	Position int64         `cbor:"3,keyasint"`
	Age      time.Duration `cbor:"4,keyasint"`
	Era      int64         `cbor:"5,keyasint,omitempty"` // of the store, for all revisions here
}

// Revision returns the one up to which the changes complete a copy.
func (c *Changes) Revision() revision.Revision {
	return revision.Revision{Era: c.Era, Number: c.Position}
}

// Encode encodes a message.
func Encode(m any) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Wrap(err, "peer: encode")
}

// Decode decodes a message.
func Decode(b []byte, into any) error {
	return errors.Wrap(cbor.Unmarshal(b, into), "peer: decode")
}

// Uses converts loads for a heartbeat. More than fit are left out altogether:
// targets missing from a part of them would look idle to others.
func Uses(loads map[direct.TargetID]direct.Load) []TargetUse {
	if len(loads) > MaxUses {
		return nil
	}
	out := make([]TargetUse, 0, len(loads))
	for id, l := range loads {
		out = append(out, TargetUse{ID: uint64(id), Flows: l.Flows, Busy: l.Busy})
	}
	return out
}

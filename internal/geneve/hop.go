package geneve

import (
	"encoding/binary"
	"net/netip"
)

// Kind is the reason for which one balancer passes a packet to another.
type Kind uint8

const (
	// Opening is a caller's opening packet on its way to the flow's home.
	Opening Kind = iota + 1
	// Ask is a caller's packet of a flow that the sending balancer does not
	// know.
	Ask
	// Answer is a target's packet that the home has to verify.
	Answer
	// Silent is a caller's packet of a known flow without recent answers, or a
	// question or report about such a flow; see FlagAsked and FlagAnswered.
	Silent
	// Correct returns an answer to a balancer that may have recorded a target
	// other than the home's. Target is the target recorded by the home.
	Correct
)

// HopVersion is the version of the option's layout. Receivers accept any
// version at or above their own and ignore bytes that they do not know.
const HopVersion = 1

// Hop is the option that balancers add to packets between them. For an answer,
// Target is the address of the target that sent it, since the outer source
// address is replaced. For a Silent it is the target that the sender has
// recorded.
type Hop struct {
	Version uint8
	Kind    Kind
	Count   uint8 // number of balancers that passed the packet on
	Flags   uint8 // bits FlagExhausted to FlagRecorded
	Target  netip.Addr
}

// Flags of a Hop.
const (
	// FlagExhausted marks an Ask that returns to the home because no balancer
	// that was asked knows the flow.
	FlagExhausted = 1 << iota
	// FlagFormer marks a SYN-ACK or reset that the flow's home cannot
	// attribute, on its way to former homes.
	FlagFormer
	// FlagSpilled marks a packet of a flow that another group serves. The
	// receiver handles it as if it came from the fabric, whatever its Kind.
	FlagSpilled
	// FlagCrossed marks a SYN-ACK of a target other than the home's, on its
	// way to a former home, which delivers it if it knows it and otherwise
	// rejects it.
	FlagCrossed
	// FlagAsked marks a Silent by which a flow's home asks the other balancers
	// for a recent answer of its target.
	FlagAsked
	// FlagAnswered marks a Silent by which a balancer reports to a flow's home
	// that it forwarded a recent answer.
	FlagAnswered
	// FlagRecorded marks a target's reset of a flow that a balancer on its way
	// has recorded at that target.
	FlagRecorded
)

func (h *Hop) append(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint16(dst, optionClass)
	dst = append(dst, optionType|0x80, hopBodyLen/4)
	dst = append(dst, HopVersion, byte(h.Kind), h.Count, h.Flags)
	a := h.Target.As16()
	if !h.Target.IsValid() {
		a = [16]byte{}
	}
	dst = append(dst, a[:]...)
	return append(dst, 0, 0, 0, 0)
}

func decodeHop(b []byte) Hop {
	h := Hop{Version: b[0], Kind: Kind(b[1]), Count: b[2], Flags: b[3]}
	a := netip.AddrFrom16([16]byte(b[4:20])).Unmap()
	if !a.IsUnspecified() {
		h.Target = a
	}
	return h
}

package geneve

import (
	"encoding/binary"
	"net/netip"
)

// Kind says why one balancer passes a packet to another.
type Kind uint8

const (
	// Opening is a caller's opening packet on its way to the flow's home.
	Opening Kind = iota + 1
	// Ask is a caller's packet of a flow that the sender does not know.
	Ask
	// Answer is a target's packet that the home has to verify.
	Answer
	// Silent is a caller's packet of a known flow without recent answers.
	Silent
	// Correct returns an answer's headers to a balancer that recorded a
	// target other than the home's; Target is the home's record.
	Correct
)

// HopVersion is the version of the option's layout. A receiver takes any
// version at or above its own and ignores bytes that it does not know.
const HopVersion = 1

// Hop is the option that travels between balancers. Target is the address
// of the target that sent an answer, since the outer source is lost by then.
type Hop struct {
	Version uint8
	Kind    Kind
	Count   uint8 // balancers that passed the packet on so far
	Flags   uint8
	Target  netip.Addr
}

// Flags of a Hop.
const (
	// FlagExhausted marks an Ask that came back to the home without an owner.
	FlagExhausted = 1 << iota
	// FlagFormer marks a SYN-ACK that a flow's home does not know, on its way
	// to the balancer that was home before.
	FlagFormer
	// FlagSpilled marks a packet of a flow that another group serves: its
	// receiver handles it as if the fabric had sent it.
	FlagSpilled
	// FlagCrossed marks a SYN-ACK of another target than the home's, on its way
	// to a former home, which knows it or resets the target.
	FlagCrossed
	// FlagAsked marks a Silent by which a flow's home asks the others for a recent answer
	// of its target.
	FlagAsked
	// FlagAnswered marks a Silent by which one of them says that it saw one.
	FlagAnswered
	// FlagRecorded marks a target's reset of a flow that its sender has on record at that
	// target.
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

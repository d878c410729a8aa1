package model

import (
	"fmt"
	"net/netip"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/packet"
)

const (
	flagSyn = header.TCPFlagSyn
	flagAck = header.TCPFlagAck
	flagRst = header.TCPFlagRst
	flagPsh = header.TCPFlagPsh
	flagFin = header.TCPFlagFin
)

// phase is the state of a caller's connection.
type phase int

const (
	idle phase = iota
	synSent
	established
	answered
	refused // by a reset in answer to the SYN
	broken  // by a reset after the SYN-ACK
)

// caller models one TCP connection (RFC 9293) that carries one request. It
// accepts a SYN-ACK that acknowledges its initial sequence number, a reset with
// exactly the next sequence number, and an answer whose sequence and
// acknowledgement numbers both match.
type caller struct {
	index           int
	addr, service   netip.AddrPort
	isn             uint32
	phase           phase
	target          int    // index of the target whose SYN-ACK it accepted, or -1
	targetISN       uint32 // that target's initial sequence number
	answeredBy      int    // index of the target that answered, or -1
	retransmissions int
	closes          bool // answers packets after the end of its connection with resets, as a closed socket does
}

func newCaller(i int) *caller {
	const port = 40000
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)}), port)
	return &caller{index: i, addr: addr, service: serviceAddress, isn: uint32(i+1) << 20, target: -1, answeredBy: -1}
}

const request = "note"

func (c *caller) build(seq, ack uint32, f header.TCPFlags, payload string) []byte {
	return packet.Build(c.addr, c.service, seq, ack, f, []byte(payload))
}

func (c *caller) syn() []byte { return c.build(c.isn, 0, flagSyn, "") }

// retransmission returns the packet that a waiting caller sends again: its request if the
// connection is established, or else its SYN.
func (c *caller) retransmission() []byte {
	if c.phase == established {
		return c.data()
	}
	return c.syn()
}

// waiting reports whether the caller waits for a SYN-ACK or for the answer to its request.
func (c *caller) waiting() bool { return c.phase == synSent || c.phase == established }

func (c *caller) data() []byte { return c.build(c.isn+1, c.targetISN+1, flagAck|flagPsh, request) }

// receive handles a packet that reached the caller and returns the packets that
// the caller sends in response. The sender is that of the message.
func (c *caller) receive(seg *packet.Segment, sender int) [][]byte {
	switch c.phase {
	case synSent:
		return c.receiveSynSent(seg, sender)
	case established:
		return c.receiveEstablished(seg, sender)
	case answered:
		if c.closes && !seg.IsReset() {
			return [][]byte{packet.ResetTo(seg)}
		}
	case refused, idle:
		if !seg.IsReset() {
			return [][]byte{packet.ResetTo(seg)}
		}
	}
	return nil
}

// receiveSynSent handles a packet while the caller waits for a SYN-ACK.
func (c *caller) receiveSynSent(seg *packet.Segment, sender int) [][]byte {
	switch {
	case seg.IsReset():
		if seg.HasAck() && seg.Ack == c.isn+1 {
			c.phase = refused
		}
	case seg.IsAccept() && seg.Ack == c.isn+1:
		c.phase = established
		c.target = sender
		c.targetISN = seg.Seq
		return [][]byte{c.build(c.isn+1, c.targetISN+1, flagAck, ""), c.data()}
	case seg.HasAck() && seg.Ack != c.isn+1:
		return [][]byte{packet.ResetTo(seg)}
	}
	return nil
}

// receiveEstablished handles a packet while the caller waits for the answer.
func (c *caller) receiveEstablished(seg *packet.Segment, sender int) [][]byte {
	switch {
	case seg.IsReset():
		if seg.Seq == c.targetISN+1 {
			c.phase = broken
		}
	case seg.IsAccept():
		return [][]byte{c.build(c.isn+1+uint32(len(request)), c.targetISN+1, flagAck, "")}
	case seg.PayloadLen > 0 && seg.Seq == c.targetISN+1 && seg.Ack == c.isn+1+uint32(len(request)):
		c.phase = answered
		c.answeredBy = sender
		if seg.IsFin() {
			next := seg.Seq + uint32(seg.PayloadLen) + 1
			return [][]byte{c.build(seg.Ack, next, flagAck|flagFin, "")}
		}
	}
	return nil
}

func (c *caller) key() string {
	return fmt.Sprintf("c%d %d %d %d %d;", c.phase, c.target, c.targetISN, c.answeredBy, c.retransmissions)
}

// target models the TCP stack and the server of one target.
type target struct {
	index             int
	number            uint32 // number of its service
	addr              netip.Addr
	conns             map[netip.AddrPort]conn // by caller
	runs              map[netip.AddrPort]int  // executed requests by caller
	closesAfterAnswer bool                    // closes each connection after its answer
	// bareAcks makes it answer a retransmitted opening packet with a bare
	// acknowledgement instead of a SYN-ACK.
	bareAcks     bool
	misdelivered int // packets received that carry another service's number
}

type conn struct {
	callerISN uint32 // the caller's initial sequence number
	open      bool   // the handshake is complete
	ran       bool   // the request was executed
}

// isn returns the target's initial sequence number, the same for every caller
// but different at each target, as random numbers would be.
func (t *target) isn() uint32 { return 1<<30 + uint32(t.index+1)<<26 }

// receive handles a packet and returns the target's answers. With shed, an
// opening of a new connection is refused by a reset.
func (t *target) receive(seg *packet.Segment, shed bool) [][]byte {
	c, known := t.conns[seg.Src]
	switch {
	case seg.IsReset():
		if known && seg.Seq == t.next(c) {
			delete(t.conns, seg.Src)
		}
		return nil
	case seg.IsOpening():
		return t.receiveOpening(seg, c, known, shed)
	case !known:
		return [][]byte{packet.ResetTo(seg)}
	case !c.open && seg.Ack != t.isn()+1:
		return [][]byte{packet.ResetTo(seg)}
	}
	c.open = true
	t.conns[seg.Src] = c
	if seg.PayloadLen == 0 || seg.Ack != t.isn()+1 || seg.Seq != c.callerISN+1 {
		return nil
	}
	if !c.ran {
		c.ran = true
		t.conns[seg.Src] = c
		t.runs[seg.Src]++
	}
	flags := flagAck | flagPsh
	if t.closesAfterAnswer {
		flags |= flagFin
	}
	return [][]byte{packet.Build(seg.Dst, seg.Src, t.isn()+1, t.next(c), flags, []byte("done"))}
}

// next returns the sequence number that the target expects from the caller.
func (t *target) next(c conn) uint32 {
	if c.ran {
		return c.callerISN + 1 + uint32(len(request))
	}
	return c.callerISN + 1
}

func (t *target) receiveOpening(seg *packet.Segment, c conn, known, shed bool) [][]byte {
	switch {
	case known && (c.open || t.bareAcks && c.callerISN == seg.Seq):
		return [][]byte{packet.Build(seg.Dst, seg.Src, t.isn()+1, t.next(c), flagAck, nil)}
	case !known && shed:
		return [][]byte{packet.ResetTo(seg)}
	}
	t.conns[seg.Src] = conn{callerISN: seg.Seq}
	return [][]byte{t.accept(seg.Dst, seg.Src, seg.Seq)}
}

// accept returns the target's SYN-ACK for a caller's initial sequence number.
func (t *target) accept(service, caller netip.AddrPort, isn uint32) []byte {
	return packet.Build(service, caller, t.isn(), isn+1, flagSyn|flagAck, nil)
}

func (t *target) key() string { return fmt.Sprintf("t%v %v %d;", t.conns, t.runs, t.misdelivered) }

package router

import (
	"net/netip"

	"rosedale.dev/rosedale/internal/geneve"
)

// Destination is the kind of receiver of an Action's packet.
type Destination uint8

const (
	// ToTarget sends to a target, with its service's number as VNI.
	ToTarget Destination = iota + 1
	// ToCaller sends to the fabric, which delivers the packet to the caller.
	ToCaller
	// ToPeer sends to another balancer, with a hop option.
	ToPeer
)

// Action is one packet to send. Packet aliases the handled datagram or is
// newly allocated; it must be sent before the datagram's buffer is reused.
type Action struct {
	To     Destination
	Target netip.Addr     // for ToTarget
	Peer   netip.AddrPort // for ToPeer
	VNI    uint32         // for ToTarget and ToPeer: number of the service
	Hop    geneve.Hop     // for ToPeer
	Packet []byte
}

// Output collects the actions and decisions of one call. It can be reused.
type Output struct {
	Actions   []Action
	Decisions []Decision
}

// Reset empties o and keeps its memory.
func (o *Output) Reset() {
	o.Actions = o.Actions[:0]
	o.Decisions = o.Decisions[:0]
}

func (o *Output) sendToTarget(v *View, id uint32, p []byte) {
	t := &v.Targets[id]
	o.Actions = append(o.Actions, Action{To: ToTarget, Target: t.Addr, VNI: t.Service, Packet: p})
}

func (o *Output) sendToCaller(p []byte) {
	o.Actions = append(o.Actions, Action{To: ToCaller, Packet: p})
}

func (o *Output) sendToPeer(v *View, node int, vni uint32, h geneve.Hop, p []byte) {
	o.Actions = append(o.Actions, Action{To: ToPeer, Peer: v.Nodes[node].Data, VNI: vni, Hop: h, Packet: p})
}

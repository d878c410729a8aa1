package flow

// State is the state of a flow as its balancer knows it.
type State uint8

const (
	// Queued: the opening packet waits for a target with room; none is chosen
	// yet.
	Queued State = iota + 1
	// Opening: the opening packet was sent to Target.
	Opening
	// Accepted: the target's SYN-ACK was forwarded to the caller, which has
	// not acknowledged it yet. Seq is the target's initial sequence number.
	Accepted
	// Open: the handshake is complete at both ends.
	Open
	// Learned: the target was taken from a forwarded answer, and the home has
	// not verified it yet.
	Learned
	// Probing: the home sends the caller's packet to one candidate target
	// after another, to find the one that has the flow.
	Probing
	// Closing: the flow has ended; the entry is kept to forward late packets.
	Closing
	// Refused: the caller's opening packet was answered with a reset. No
	// payload was forwarded.
	Refused
	// Handed: this balancer has handed the opening over to its new home.
	Handed
	// Spilled: the balancers of another group, which serves other data
	// centres, decide on the flow. LastAnswer holds the hash of the chosen
	// data centre instead of a tick.
	Spilled
	// Hinted: the target was taken from one answer without payload, which does
	// not prove that it has the flow. No packet is forwarded by this entry.
	Hinted
)

// String returns the state's name in logs and operator output.
func (s State) String() string {
	names := [...]string{"none", "queued", "opening", "accepted", "open", "learned", "probing", "closing", "refused", "handed", "spilled", "hinted"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Entry flags.
const (
	// Counted: the entry is included in its target's load at this balancer.
	Counted uint8 = 1 << iota
	// HandedOver: this balancer received the entry from the flow's previous
	// home.
	HandedOver
)

// Entry is the record of one flow. Times are in ticks of TickLength since the
// process's data path started.
type Entry struct {
	Key    Key
	Target uint32 // identifier of (service number, target address), or 0 if none
	// Seq is the caller's initial sequence number until a target accepts the
	// opening, and the target's while Accepted. After that it is a recent
	// sequence number of the caller, usually the last that the target
	// acknowledged, or 0 if none is known.
	Seq        uint32
	LastPacket uint32 // tick of the last packet in either direction
	LastAnswer uint32 // tick of the last answer; see also Spilled
	State      State
	Flags      uint8
	Answers    uint8 // answers forwarded by this balancer, saturating
	Probe      uint8 // index of the candidate being probed
}

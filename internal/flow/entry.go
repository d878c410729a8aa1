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
	// Refused: the opening was answered with a reset. No payload was
	// forwarded.
	Refused
	// Handed: the opening was handed over to a new home.
	Handed
	// Spilled: another group's balancers decide on the flow. LastAnswer holds
	// the hash of that group's data centre instead of a tick.
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
	// HandedOver: the entry came from the flow's previous home.
	HandedOver
)

// Entry is the record of one flow. Times are in ticks of TickLength since the
// process's data path started.
type Entry struct {
	Key    Key
	Target uint32 // identifier of (service number, target address)
	// Seq is the caller's initial sequence number while Opening, the target's
	// while Accepted, and after that the last of the caller's sequence numbers
	// that the target acknowledged.
	Seq        uint32
	LastPacket uint32 // tick of the last packet in either direction
	LastAnswer uint32 // tick of the last answer; see also Spilled
	State      State
	Flags      uint8
	Answers    uint8 // answers forwarded by this balancer, saturating
	Probe      uint8 // index of the candidate being probed
}

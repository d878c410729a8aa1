package router

import (
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// Reason is the reason for which a packet was refused, dropped or rerouted, or
// an event of a flow. Each has a counter.
type Reason uint8

// The reasons. For a Drop reason a packet was discarded unless noted, for a
// Refuse reason an opening packet was answered with a reset, and for a Retry
// reason an opening or a probe continues.
const (
	DropGeneveShort     Reason = iota // geneve.ErrShort
	DropGeneveVersion                 // geneve.ErrVersion
	DropGeneveProtocol                // geneve.ErrProtocol
	DropGeneveOption                  // geneve.ErrOption
	DropGeneveCritical                // geneve.ErrCritical
	DropPacketShort                   // packet.ErrShort
	DropPacketVersion                 // packet.ErrVersion
	DropPacketLength                  // packet.ErrLength
	DropPacketFragment                // packet.ErrFragment
	DropPacketProtocol                // packet.ErrProtocol
	DropPacketTCP                     // packet.ErrTCP
	DropForeignSource                 // hop option not from a peer, or caller's packet not from the fabric
	DropForeignNumber                 // answer with a VNI that no service has
	DropForeignTarget                 // answer or hop option with an unknown target
	DropUnknownAddress                // not a service address, or another service's
	DropHopLimit                      // hop count has reached hopLimit
	DropHopKind                       // hop option of an unknown kind
	DropTableFull                     // no room for the flow in the table; an answer is forwarded all the same
	DropOpeningRepeated               // retransmission of an opening that is queued or handed over
	DropMidOpening                    // caller's packet of a flow whose opening is pending or refused
	DropUnknownReset                  // reset of a flow that is unknown or has no connection
	DropUnknownFlow                   // no target or balancer found for the flow
	DropProbeLimit                    // too many probes, or too many per second
	DropCrossedAnswer                 // answer that does not fit the record
	DropLateAccept                    // SYN-ACK that does not fit the record
	DropLateRefusal                   // refusal of an opening that was accepted
	RefuseNoTarget                    // the service has no targets
	RefuseQueueFull                   // the service's queue is full
	RefuseDisplaced                   // displaced in the queue by an urgent opening
	RefuseDeadline                    // still queued at the deadline
	RefuseTooLate                     // not expected to be admitted before the deadline
	RefuseUnanswered                  // left unanswered until the deadline
	RefuseRetryLimit                  // refused by its target after MaxTries attempts
	RefusePayload                     // opening packet with payload
	RefuseWithdrawn                   // address no longer in the catalogue
	RefuseOpeningLimit                // MaxOpenings are pending
	RetryShed                         // retried after a refusal by the target
	RetryTimeout                      // retried after OpenTimeout
	RetryProbe                        // probed packet sent to a candidate
	RetryDelayed                      // queued, as the retry budget is spent
	OpeningQueued                     // queued until a target has room
	OpeningResent                     // sent again to the same target
	OpeningForgotten                  // deleted, as another balancer is the home
	ResetSilent                       // both ends were reset, as the flow is silent
	ResetUnknown                      // the caller was reset, as no candidate has the flow
	ResetAbandoned                    // the target of an abandoned opening was reset
	ResetLeft                         // a target was reset whose SYN-ACK came too late
	ResetByTarget                     // the target reset the flow
	ResetByCaller                     // the caller reset the flow
	FlowOpened                        // accepted by the target
	FlowAdopted                       // recorded by a home that did not open it
	FlowLearned                       // recorded from a forwarded answer
	FlowCorrected                     // target replaced by the home's
	FlowCrossed                       // record deleted, as the caller is connected to another target
	FlowExpired                       // idle entry deleted
	FlowEnded                         // ended by a FIN or reset
	FlowEndedElsewhere                // counted here, ended at another balancer
	FlowHandedOver                    // received from the previous home
	FlowSpilled                       // passed to another group
	HomeForwarded                     // packet passed to the home
	AskForwarded                      // packet passed along the rendezvous order
	AskSilent                         // peers were asked about a flow that may be silent
	SilentRepeated                    // segment retransmitted by the home
	SilenceObjected                   // a peer has forwarded a recent answer of the flow
	reasonCount
)

var reasonNames = [reasonCount]string{
	"drop_geneve_short", "drop_geneve_version", "drop_geneve_protocol", "drop_geneve_option",
	"drop_geneve_critical", "drop_packet_short", "drop_packet_version", "drop_packet_length",
	"drop_packet_fragment", "drop_packet_protocol", "drop_packet_tcp", "drop_foreign_source",
	"drop_foreign_number", "drop_foreign_target", "drop_unknown_address", "drop_hop_limit",
	"drop_hop_kind", "drop_table_full", "drop_opening_repeated", "drop_mid_opening",
	"drop_unknown_reset", "drop_unknown_flow", "drop_probe_limit", "drop_crossed_answer",
	"drop_late_accept", "drop_late_refusal", "refuse_no_target", "refuse_queue_full", "refuse_displaced",
	"refuse_deadline", "refuse_too_late", "refuse_unanswered", "refuse_retry_limit", "refuse_payload",
	"refuse_withdrawn", "refuse_opening_limit", "retry_shed", "retry_timeout", "retry_probe", "retry_delayed",
	"opening_queued", "opening_resent", "opening_forgotten", "reset_silent", "reset_unknown", "reset_abandoned",
	"reset_left", "reset_by_target", "reset_by_caller",
	"flow_opened", "flow_adopted", "flow_learned", "flow_corrected", "flow_crossed",
	"flow_expired", "flow_ended", "flow_ended_elsewhere", "flow_handed_over", "flow_spilled", "home_forwarded", "ask_forwarded",
	"ask_silent", "silent_repeated", "silence_objected",
}

// String returns the reason's name in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons, for metrics and operator output.
func Reasons() []Reason {
	out := make([]Reason, reasonCount)
	for i := range out {
		out[i] = Reason(i)
	}
	return out
}

func packetReason(err error) Reason {
	switch err {
	case packet.ErrShort:
		return DropPacketShort
	case packet.ErrVersion:
		return DropPacketVersion
	case packet.ErrLength:
		return DropPacketLength
	case packet.ErrFragment:
		return DropPacketFragment
	case packet.ErrProtocol:
		return DropPacketProtocol
	}
	return DropPacketTCP
}

// GeneveReason returns the reason for an error of geneve.Parse.
func GeneveReason(err error) Reason {
	switch err {
	case geneve.ErrShort:
		return DropGeneveShort
	case geneve.ErrVersion:
		return DropGeneveVersion
	case geneve.ErrProtocol:
		return DropGeneveProtocol
	case geneve.ErrOption:
		return DropGeneveOption
	}
	return DropGeneveCritical
}

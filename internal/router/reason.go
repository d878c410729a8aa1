package router

import (
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// Reason is the reason for which a packet was refused, dropped or rerouted, or
// an event of a flow. Each has a counter.
type Reason uint8

// The reasons. Refuse reasons are those for which an opening packet was
// answered with a reset.
const (
	DropGeneveShort Reason = iota
	DropGeneveVersion
	DropGeneveProtocol
	DropGeneveOption
	DropGeneveCritical
	DropPacketShort
	DropPacketVersion
	DropPacketLength
	DropPacketFragment
	DropPacketProtocol
	DropPacketTCP
	DropForeignSource
	DropForeignNumber
	DropForeignTarget
	DropUnknownAddress
	DropHopLimit
	DropHopKind
	DropTableFull
	DropOpeningRepeated
	DropMidOpening
	DropUnknownReset
	DropUnknownFlow
	DropProbeLimit
	DropCrossedAnswer
	DropLateAccept
	DropLateRefusal
	RefuseNoTarget
	RefuseQueueFull
	RefuseDisplaced
	RefuseDeadline
	RefuseTooLate
	RefuseUnanswered
	RefuseRetryLimit
	RefusePayload
	RefuseWithdrawn
	RefuseOpeningLimit
	RetryShed
	RetryTimeout
	RetryProbe
	RetryDelayed
	OpeningQueued
	OpeningResent
	OpeningForgotten
	ResetSilent
	ResetUnknown
	ResetAbandoned
	ResetLeft
	ResetByTarget
	ResetByCaller
	FlowOpened
	FlowAdopted
	FlowLearned
	FlowCorrected
	FlowCrossed
	FlowExpired
	FlowEnded
	FlowHandedOver
	FlowSpilled
	HomeForwarded
	AskForwarded
	AskSilent
	SilentRepeated
	SilenceObjected
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
	"flow_expired", "flow_ended", "flow_handed_over", "flow_spilled", "home_forwarded", "ask_forwarded",
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

package direct

import (
	"strings"

	"github.com/pkg/errors"
)

// Mechanism is a feature switch: a part of the decisions that an operator can turn off, if
// it does harm or to measure its effect.
type Mechanism uint8

// The feature switches.
const (
	RequestChecks Mechanism = iota
	OpeningChecks
	IdleResets
	PeerDeaths
	RestartResets
	SecondTarget
	Spill
	PeerFlows
	ColdStarts
	ColdLimits
	OutlierDetection
	LapsedTargets
	OwnLink
	Alarms
	Yield
	StartSources
	StepBack
	Admission
	SpeedPlacement
	mechanismCount
)

var mechanismTexts = [mechanismCount]struct{ name, description string }{
	RequestChecks:    {"request-checks", "check a target whose request shows no sign of life for much longer than answers usually take"},
	OpeningChecks:    {"opening-checks", "check a target that leaves an opening unanswered"},
	IdleResets:       {"idle-resets", "reset idle flows of a target that is found dead"},
	PeerDeaths:       {"peer-deaths", "take callers that wait at peers as evidence that a target is dead"},
	RestartResets:    {"restart-resets", "reset flows of a target's older start when it starts again"},
	SecondTarget:     {"second-target", "send a retransmitted opening to another target"},
	Spill:            {"spill", "open flows in other data centres when this one is full"},
	PeerFlows:        {"peer-flows", "count the open flows of peers when placing"},
	ColdStarts:       {"cold-starts", "count requests more on targets that have just started"},
	ColdLimits:       {"cold-limits", "open no more flows at targets that have just started than they can take"},
	OutlierDetection: {"grades", "track how requests end, and avoid targets that fail more than others"},
	LapsedTargets:    {"lapsed-targets", "use targets whose registration has just expired if no other is left"},
	OwnLink:          {"own-link", "check another target to tell unreachable targets from a congested link"},
	Alarms:           {"alarms", "report suspicions to peers at once rather than with the next heartbeat"},
	Yield:            {"yield", "send callers to other data centres when most balancers here are lost"},
	StartSources:     {"start-sources", "take the first copy from a few balancers of the data centre rather than from the store"},
	StepBack:         {"step-back", "send callers to other data centres when this one is evacuated or its balancers reach no target"},
	Admission:        {"admission", "let requests wait or reject them while a service with a goal has too few slots"},
	SpeedPlacement:   {"speed-placement", "choose by measured speed among a few targets while a service is saturated"},
}

// String returns the name used in settings and on the command line.
func (m Mechanism) String() string { return mechanismTexts[m].name }

// Describe returns a one-line description of the feature.
func (m Mechanism) Describe() string { return mechanismTexts[m].description }

// Mechanisms returns all feature switches.
func Mechanisms() []Mechanism { return enumValues(mechanismCount) }

// MechanismSet is a set of feature switches.
type MechanismSet uint32

// Has reports whether the set contains a feature switch.
func (s MechanismSet) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// String returns the names, separated by commas.
func (s MechanismSet) String() string {
	var names []string
	for _, m := range Mechanisms() {
		if s.Has(m) {
			names = append(names, m.String())
		}
	}
	return strings.Join(names, ",")
}

// ParseMechanisms parses a comma-separated list of names. It returns an error for an unknown
// name.
func ParseMechanisms(list string) (MechanismSet, error) {
	var out MechanismSet
	for _, name := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		m, ok := mechanismNamed(name)
		if !ok {
			return 0, errors.Errorf("unknown mechanism %q", name)
		}
		out |= 1 << m
	}
	return out, nil
}

func mechanismNamed(name string) (Mechanism, bool) {
	for _, m := range Mechanisms() {
		if m.String() == name {
			return m, true
		}
	}
	return 0, false
}

package direct

import (
	"strings"

	"github.com/pkg/errors"
)

// Mechanism is a part of the decisions that an operator can switch off, to take it out
// of service or to learn what it is worth.
type Mechanism uint8

// The mechanisms.
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
	mechanisms
)

var mechanismTexts = [mechanisms]struct{ name, what string }{
	RequestChecks: {"request-checks", "check a target whose request shows no sign of life for three times the usual"},
	OpeningChecks: {"opening-checks", "check a target that leaves an opening unanswered"},
	IdleResets:    {"idle-resets", "reset idle flows of a target that is found dead"},
	PeerDeaths:    {"peer-deaths", "take callers that wait at peers as evidence that a target is dead"},
	RestartResets: {"restart-resets", "reset flows of a target's older start when it starts again"},
	SecondTarget:  {"second-target", "send a repeated opening to another target"},
	Spill:         {"spill", "open flows in other data centres when this one is full"},
	PeerFlows:     {"peer-flows", "count the open flows of peers when placing"},
	ColdStarts:    {"cold-starts", "count requests more on targets that have just started"},
	ColdLimits:    {"cold-limits", "open no more flows at targets that have just started than they bear"},
	OutlierDetection:        {"grades", "judge how requests end, and leave targets that fail more than others"},
	LapsedTargets: {"lapsed-targets", "serve at targets that have just lapsed if no other is left"},
	OwnLink:       {"own-link", "check another target to tell dark targets from a choked link"},
	Alarms:        {"alarms", "tell peers of suspicions at once rather than with the next heartbeat"},
	Yield:         {"yield", "hand callers to other data centres when most balancers here are lost"},
	StartSources:  {"start-sources", "take the first copy from a few balancers of the data centre rather than from the store"},
}

// String returns the name that an operator uses.
func (m Mechanism) String() string { return mechanismTexts[m].name }

// Describe says what the mechanism does.
func (m Mechanism) Describe() string { return mechanismTexts[m].what }

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism { return all(mechanisms) }

// MechanismSet is a set of mechanisms.
type MechanismSet uint32

// Has reports whether a mechanism is in the set.
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

// ParseMechanisms reads a list of names that are separated by commas.
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

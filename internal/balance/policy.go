package balance

// Policy selects the algorithm that picks a target among those with room.
type Policy uint8

const (
	// Bounded takes the flow's first rendezvous candidate while its load is
	// within Slack of the average, and else the least loaded target. For slots
	// it always takes the least loaded target.
	Bounded Policy = iota
	// Hash takes the first rendezvous candidate with room.
	Hash
	// TwoChoices takes the less loaded of the flow's first two candidates.
	TwoChoices
	// Least takes the least loaded target by local and reported counts.
	Least
)

// ParsePolicy returns the policy of a name used in settings and experiments.
func ParsePolicy(s string) (Policy, bool) {
	for p, n := range policyNames {
		if n == s {
			return Policy(p), true
		}
	}
	return 0, false
}

var policyNames = [...]string{"bounded", "hash", "two", "least"}

// String returns the policy's name as used in settings.
func (p Policy) String() string { return policyNames[p] }

// MaxSlack is the slack of a service whose owner gives broken flows the weight
// 1, and imbalance none. At 100 streams per target it keeps three flows in four
// at their first candidate, for an imbalance of 5 %; a slack of 0.25 would keep
// nearly all, for 15 % (docs/MEASUREMENTS.md, "choosing a target").
const MaxSlack = 0.05

// SlackFor returns how far a candidate's load may exceed the average, as a
// fraction, before another target is chosen, for the weight from 0 to 1 that an
// owner gives to broken flows.
func SlackFor(brokenFlowWeight float64) float64 { return MaxSlack * brokenFlowWeight }

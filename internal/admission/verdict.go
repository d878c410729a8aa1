package admission

// Verdict is what happens to a request.
type Verdict uint8

const (
	Admit  Verdict = iota // has a place in the returned pool
	Wait                  // found no place; Next returns it later
	Reject                // cannot be served in time; an opening only
	Forced                // admitted beyond the limit
)

// String returns the name of v, for log lines and tests.
func (v Verdict) String() string {
	switch v {
	case Admit:
		return "admit"
	case Wait:
		return "wait"
	case Reject:
		return "reject"
	case Forced:
		return "forced"
	}
	return "unknown"
}

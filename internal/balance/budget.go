package balance

// Budget limits retries to a share of the openings, so that retries cannot
// multiply the load on failing targets. It is a token bucket filled by
// openings.
type Budget struct {
	tokens float64
}

const (
	retryRatio = 0.2 // tokens added by each opening
	retryBurst = 20  // tokens at most
)

// NewBudget returns a full budget.
func NewBudget() Budget { return Budget{tokens: retryBurst} }

// Opened adds the tokens of one new opening to the budget.
func (b *Budget) Opened() { b.tokens = min(b.tokens+retryRatio, retryBurst) }

// Take takes one retry from the budget. It returns false if none is left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

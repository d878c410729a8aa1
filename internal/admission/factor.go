package admission

// factor multiplies the share of the balancer's own data centre.
type factor float64

const (
	normalFactor factor = 1
	// minFactor: less than half of the share, which is three requests per slot over all
	// balancers, could leave slots idle.
	minFactor factor = 0.5
	// maxFactor: a balancer that does not know how few its peers are reaches its real share,
	// unless they are less than a quarter of those it counts.
	maxFactor factor = 4

	// Changes at each tick of 100 ms.
	raiseBy factor = 1.1  // multiplier while the answers are quick
	lowerBy factor = 0.9  // multiplier while they are slow
	relaxBy factor = 0.02 // step towards normalFactor
)

func (f factor) raise() factor { return min(f*raiseBy, maxFactor) }
func (f factor) lower() factor { return max(f*lowerBy, minFactor) }

func (f factor) relax() factor {
	if f > normalFactor {
		return max(f-relaxBy, normalFactor)
	}
	return min(f+relaxBy, normalFactor)
}

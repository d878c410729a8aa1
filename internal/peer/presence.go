package peer

// Presence is a registered balancer and whether this balancer counts it as alive.
type Presence struct {
	DataCenter string
	Alive      bool
}

// Outnumbered reports whether more than half of the balancers of data centre own are
// lost while another data centre has at least half of its own. The remaining
// balancers then report that they are not ready.
//
// Without this, if two of three balancers lose power, two of three packets are lost
// until they are back: routers that find fewer than half of the balancers ready
// ignore the readiness answers and use all, including the dead ones. If none is
// ready, they use another data centre. A balancer that receives no heartbeats at all
// is cut off itself and stays ready.
func Outnumbered(own string, all []Presence) bool {
	registered, alive := map[string]int{}, map[string]int{}
	for _, p := range all {
		registered[p.DataCenter]++
		if p.Alive {
			alive[p.DataCenter]++
		}
	}
	if atLeastHalf(alive[own], registered[own]) {
		return false
	}
	for dc, n := range registered {
		if dc != own && atLeastHalf(alive[dc], n) {
			return true
		}
	}
	return false
}

// atLeastHalf reports whether at least half of the registered balancers are alive,
// which is the routers' rule.
func atLeastHalf(alive, registered int) bool { return 2*alive >= registered }

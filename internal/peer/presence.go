package peer

// Presence is a registered balancer, and whether the one that counts hears it.
type Presence struct {
	DataCenter string
	Alive      bool
}

// Outnumbered reports whether most balancers of a data centre are gone while
// another data centre has most of its own.
//
// Failure: two of a data centre's three balancers lose power. Routers that find
// fewer than half ready take the readiness answers for wrong and use all, also the
// dead ones, so that two of three packets are lost for as long as the outage
// lasts. With none ready they use another data centre's, which can serve.
// A balancer that hears nobody is cut off itself and stays.
func Outnumbered(own string, all []Presence) bool {
	registered, alive := map[string]int{}, map[string]int{}
	for _, p := range all {
		registered[p.DataCenter]++
		if p.Alive {
			alive[p.DataCenter]++
		}
	}
	if most(alive[own], registered[own]) {
		return false
	}
	for dc, n := range registered {
		if dc != own && most(alive[dc], n) {
			return true
		}
	}
	return false
}

// most reports whether at least half are alive, as routers count.
func most(alive, registered int) bool { return 2*alive >= registered }

package control

import (
	"maps"
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/wire"
)

// heldFresh is how long a peer's count stands without a newer one.
const heldFresh = 15 * time.Second

// peerCount is a peer's count and this balancer's own when it arrived.
type peerCount struct {
	theirs, own int
	at          time.Duration
}

// heldTable keeps what peers said they hold, by peer and target hash.
type heldTable struct {
	peers map[string]map[uint32]peerCount
	turn  int
}

func newHeldTable() *heldTable {
	return &heldTable{peers: map[string]map[uint32]peerCount{}}
}

// own returns up to n of this balancer's counts, other ones each time when
// there are more. Zeros are reported too: a target that holds nothing is what
// peers need to know most.
func (h *heldTable) own(counts map[uint32]int, n int) []wire.TargetConnections {
	all := slices.Sorted(maps.Keys(counts))
	out := make([]wire.TargetConnections, 0, n)
	for i := 0; i < len(all) && len(out) < n; i++ {
		hash := all[(h.turn+i)%len(all)]
		out = append(out, wire.TargetConnections{Target: hash, Connections: uint32(counts[hash])})
	}
	h.turn += len(out)
	return out
}

// peer notes the counts on a heartbeat beside the own ones of the moment.
func (h *heldTable) peer(now time.Duration, name string, hs []wire.TargetConnections, own map[uint32]int) {
	if len(hs) == 0 {
		return
	}
	m := h.peers[name]
	if m == nil {
		m = map[uint32]peerCount{}
		h.peers[name] = m
	}
	for _, x := range hs {
		m[x.Target] = peerCount{int(x.Connections), own[x.Target], now}
	}
}

// ahead adds up, by target identifier, how many connections more than this
// balancer the peers held. Only some peers report to each member of a large
// group; they stand for the others.
func (h *heldTable) ahead(now time.Duration, names *interner, peers int) map[uint32]int {
	sum, heard := map[uint32]int{}, map[uint32]int{}
	for name, m := range h.peers {
		for hash, c := range m {
			if now-c.at > heldFresh {
				delete(m, hash)
				continue
			}
			if id, ok := names.byHash[hash]; ok {
				sum[id] += c.theirs - c.own
				heard[id]++
			}
		}
		if len(m) == 0 {
			delete(h.peers, name)
		}
	}
	for id, n := range heard {
		if n < peers {
			sum[id] = sum[id] * peers / n
		}
	}
	return sum
}

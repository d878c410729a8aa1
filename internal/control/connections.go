package control

import (
	"maps"
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/wire"
)

// peerCountMaxAge is the time after which a peer's count expires without a newer one.
const peerCountMaxAge = 15 * time.Second

// peerCount is a peer's number of connections at a target, with this balancer's own
// number when the report arrived.
type peerCount struct {
	peerConnections, ownConnections int
	at                              time.Duration
}

// connectionTable holds the numbers of stream connections that peers reported, by peer
// and target hash.
type connectionTable struct {
	peers      map[string]map[uint32]peerCount
	nextOffset int // of report, modulo the number of counts
}

func newConnectionTable() *connectionTable {
	return &connectionTable{peers: map[string]map[uint32]peerCount{}}
}

// report returns up to n of this balancer's counts for a heartbeat. If there are more, it
// returns the next ones at each call. Zeros are included, because peers need to know
// about idle targets most of all.
func (t *connectionTable) report(counts map[uint32]int, n int) []wire.TargetConnections {
	all := slices.Sorted(maps.Keys(counts))
	out := make([]wire.TargetConnections, 0, n)
	for i := 0; i < len(all) && len(out) < n; i++ {
		hash := all[(t.nextOffset+i)%len(all)]
		out = append(out, wire.TargetConnections{Target: hash, Connections: uint32(counts[hash])})
	}
	t.nextOffset += len(out)
	return out
}

// recordPeer stores the counts of a peer's heartbeat with this balancer's own counts.
func (t *connectionTable) recordPeer(now time.Duration, name string, counts []wire.TargetConnections, own map[uint32]int) {
	if len(counts) == 0 {
		return
	}
	m := t.peers[name]
	if m == nil {
		m = map[uint32]peerCount{}
		t.peers[name] = m
	}
	for _, x := range counts {
		m[x.Target] = peerCount{int(x.Connections), own[x.Target], now}
	}
}

// peerExcess returns, by target identifier, the sum over all peers of the connections
// that a peer has at the target beyond this balancer's own. In a large group only some
// peers report to each member; the sum is scaled up to the number of all peers.
func (t *connectionTable) peerExcess(now time.Duration, ids *interner, peers int) map[uint32]int {
	sum, reports := map[uint32]int{}, map[uint32]int{}
	for name, m := range t.peers {
		for hash, c := range m {
			if now-c.at > peerCountMaxAge {
				delete(m, hash)
				continue
			}
			if id, ok := ids.byHash[hash]; ok {
				sum[id] += c.peerConnections - c.ownConnections
				reports[id]++
			}
		}
		if len(m) == 0 {
			delete(t.peers, name)
		}
	}
	for id, n := range reports {
		if n < peers {
			sum[id] = sum[id] * peers / n
		}
	}
	return sum
}

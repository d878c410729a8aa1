package balance

import (
	"fmt"
	"time"
)

// Explanation is the target that Choose would return, with the state of every
// target.
type Explanation struct {
	Choice  uint32 // target identifier, or 0 if no eligible target has room
	Why     string
	Targets []TargetNote
}

// TargetNote is the state of one target when a choice was made.
type TargetNote struct {
	ID       uint32
	Place    int // position in the flow's rendezvous order, from 1
	Eligible bool
	Load     float64 // estimate, in units
	Limit    int     // in units
	Note     string  // why Choose may skip the target, or empty
}

// Explain makes the same choice as Choose, but adds no slow-start credit and keeps the
// average load by which the next choice is made. Key is the flow's hash.
func (p *Pool) Explain(now time.Duration, u Unit, key uint64) Explanation {
	avg := p.avg
	defer func() { p.avg = avg }()
	var x Explanation
	total, n := 0.0, 0
	for i, id := range p.Order(key) {
		t := p.byID[id]
		load := t.load(u, p.homes, now, p.avg[u])
		x.Targets = append(x.Targets, TargetNote{id, i + 1, t.Eligible, load, t.Limit[u], t.note(now, u, p.homes)})
		if t.Eligible {
			total, n = total+load, n+1
		}
	}
	id, ok := p.choose(now, u, key, nil, true)
	if !ok {
		id, ok = p.choose(now, u, key, nil, false)
	}
	if !ok {
		x.Why = "no eligible target has room: the opening packet would wait"
		return x
	}
	x.Choice = id
	x.Why = fmt.Sprintf("policy %s, average load %.1f, slack %.2f", p.Policy, total/float64(max(n, 1)), p.Slack)
	return x
}

// note returns the reason for which Choose may skip the target, or "".
func (t *state) note(now time.Duration, u Unit, homes int) string {
	switch {
	case !t.Eligible:
		return "draining, leaving or unhealthy"
	case !t.hasRoom(u, homes):
		return "full"
	case now < t.shedUntil:
		return "refused an opening just now"
	case t.ramping(now):
		return "ramping up"
	}
	return ""
}

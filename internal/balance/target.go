package balance

import "time"

// Target is the description of a target given to a Pool.
type Target struct {
	ID       uint32
	Seed     uint64     // rendezvous seed
	Eligible bool       // may be chosen for new flows
	Limit    [units]int // connections and slots that the target takes
	// Ramp is the slow-start time, over which a target that became eligible
	// reaches its full share of new flows. Zero disables slow start.
	Ramp time.Duration
}

// state is a Target with its accounting.
type state struct {
	Target
	used [units]int // used by flows whose home is this balancer
	turn uint64     // Pool.turn when a slot of this target was last taken
	// peerExcess is the sum over all peers of how many more connections than
	// this balancer they have, estimated from the last reports.
	peerExcess int
	// rampFrom is when the target became eligible. credit is the part of its
	// share of new flows since then that it has not used.
	rampFrom   time.Duration
	credit     float64
	shedUntil  time.Duration // not chosen before
	unanswered int           // consecutive openings left unanswered
	// reported is the smoothed load reported by the target's endpoint, where 1
	// is full. excess is the work that is not explained by the flows of the
	// balancers, as a multiple of an average target's work.
	reported      float64
	lastReportAt  time.Duration
	firstReportAt time.Duration // first report after a gap of reportWindow
	excess        float64
}

const (
	// reportWindow is the smoothing time of reported loads, and the age at
	// which the last report is discarded. The endpoints lag and are sampled
	// rarely, so that a single report says little about the current load.
	reportWindow = 10 * time.Second
	// reportMargin is the difference from the average load that is treated as
	// noise.
	reportMargin = 0.25
	// maxExcess bounds the excess that a report can add, in multiples of an
	// average target's work.
	maxExcess = 1.0
	// Each new flow of the pool adds to the credit of a target in slow start:
	// rampBurst equal shares times the elapsed part of the ramp, which counts
	// as at least rampFloor. The credit is at most rampBurst.
	rampFloor = 0.1
	rampBurst = 2
)

// load estimates the target's work in units. The excess is multiplied by avg,
// the pool's average load, plus one. Reports are not used for slots: their home
// counts them exactly, a target with other work frees them later, which the
// counts include, and a load report about few slots is mostly noise.
func (t *state) load(u Unit, homes int, now time.Duration, avg float64) float64 {
	n := float64(t.estimatedUse(u, homes))
	if u == Connection && t.excess > 0 && now-t.lastReportAt < reportWindow {
		n += t.excess * (avg + 1)
	}
	return n
}

// smooth adds a reported load to the moving average.
func (t *state) smooth(now time.Duration, load float64) {
	if now-t.lastReportAt >= reportWindow || t.firstReportAt == 0 {
		t.reported, t.firstReportAt = load, now
	}
	w := float64(now-t.lastReportAt) / float64(reportWindow)
	t.reported += (load - t.reported) * min(w, 1)
	t.lastReportAt = now
}

// hasReliableLoad reports whether the smoothed load covers a full window. A
// new home would otherwise avoid the targets that were busy in its first
// sample.
func (t *state) hasReliableLoad(now time.Duration) bool {
	return t.firstReportAt > 0 && now-t.firstReportAt >= reportWindow
}

// estimatedUse estimates the units that the flows of all homes use at the
// target. Peers choose as this balancer does, so each of them is assumed to
// use what this one uses plus its excess at its last report. With the lagging
// reports alone, all homes would choose the same least loaded target at once.
func (t *state) estimatedUse(u Unit, homes int) int {
	if u == Slot {
		return t.used[Slot]
	}
	return max(t.used[Connection]*homes+t.peerExcess, t.used[Connection])
}

// hasRoom reports whether the target can take one more flow. One connection
// for each other home is kept in reserve, since homes with lagging counts
// could otherwise exceed the target's limit together.
func (t *state) hasRoom(u Unit, homes int) bool {
	if u == Slot {
		return t.used[Slot] < t.Limit[Slot]
	}
	return t.estimatedUse(Connection, homes)+homes <= t.Limit[Connection]
}

// ramping reports whether slow start excludes the target from the next choice:
// it has no credit for a whole flow yet.
func (t *state) ramping(now time.Duration) bool {
	return t.Ramp > 0 && now-t.rampFrom < t.Ramp && t.credit < 1
}

// accrue adds the credit for one new flow of a pool of n targets.
func (t *state) accrue(now time.Duration, n int) {
	if t.Ramp <= 0 || now-t.rampFrom >= t.Ramp {
		return
	}
	f := max(float64(now-t.rampFrom)/float64(t.Ramp), rampFloor)
	t.credit = min(t.credit+rampBurst*f/float64(n), rampBurst)
}

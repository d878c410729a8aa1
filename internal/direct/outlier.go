package direct

import (
	"net/netip"
	"time"
)

const (
	// failingWeight scales the share of failed requests, in excess of the service's, to
	// additional load in requests per slot. With 16, a target that fails four tenths of its
	// requests while the service fails one ninth gets no new flow until the other targets
	// have a queue of four requests per slot, beyond which they refuse requests.
	//
	// Without this, 408 instead of 147 of 3,369 requests failed while four of 14 targets
	// answered four tenths with errors, and 0.883 instead of 0.958 met their goal while these
	// targets were five times slower. With half the weight the figures are 173 and 0.939
	// (TestFailingTargetsAreLeft, TestSlowTargetsAreLeft).
	failingWeight = 16
	// failingLoad is the additional load above which a target is reported as failing in logs
	// and status. The state ends below half of it.
	failingLoad = 2.0
	// minReportedBad is the decayed number of bad requests from which on a target's outcomes
	// are reported to peers: one that was not answered, or two that were slow.
	minReportedBad = 0.9
	// minTrackedBad is the number of bad requests below which a target is not tracked any
	// further. One bad request decays to it within three time constants.
	minTrackedBad = 0.05
	// maxReportableShare is the share of bad requests in a service from which on the cause is
	// more likely this balancer or a fault common to all targets; outcomes are then not
	// reported to peers.
	maxReportableShare = 0.5
)

// outcomeTracker holds the outcomes of requests and what is derived from them.
type outcomeTracker struct {
	baselines      map[netip.AddrPort]*baseline // by route address
	baselineList   []*baseline                  // the same, in the order of creation
	pendingAnswers waitQueue                    // requests without an outcome yet
	recentlyFailed map[*target]bool             // targets with recent bad requests
	counts         [answerCount]uint64          // requests by outcome
	changes        []OutlierChange              // see OutlierChanges
	badSeen        bool                         // see BadSeen
	balancers      int                          // see SetPeerOutcomes
}

func newOutcomeTracker() outcomeTracker {
	return outcomeTracker{baselines: map[netip.AddrPort]*baseline{}, recentlyFailed: map[*target]bool{}}
}

// recordAnswer records the outcome of a request to a target.
func (f *Forwarder) recordAnswer(now time.Duration, t *target, a Answer) {
	f.outcomes.counts[a]++
	if f.without.Has(OutlierDetection) {
		return
	}
	f.service(t.Service).record.add(now, a)
	t.record.add(now, a)
	if a.weight() > 0 {
		f.outcomes.recentlyFailed[t] = true
		f.outcomes.badSeen = true
		f.updateScore(now, t)
	}
}

// updateScore sets the additional load of a target that fails a larger share of its requests
// than its service as a whole.
//
// Guards against a target that fails, hangs or slows down while its health check is good:
// being idle, it would attract ever more flows. The comparison with the whole service makes
// faults common to all targets, to the callers or to this balancer cancel out. The result is
// a load rather than an exclusion, so that a false positive cannot leave a service without
// targets.
func (f *Forwarder) updateScore(now time.Duration, t *target) {
	s := f.service(t.Service)
	t.record.decay(now)
	s.record.decay(now)
	// Peers report only targets with failures, so their good requests are estimated: every
	// target is assumed to get the same number.
	perTarget := (s.record.Good + s.record.Bad) * float64(max(f.outcomes.balancers, 1)) / float64(max(s.targetsInUse(), 1))
	excess := t.record.Plus(t.peerOutcome).share(perTarget) - s.record.share(0)
	t.extraLoad = failingWeight * max(excess, 0)
	f.noteOutlierChange(t, excess)
}

// targetsInUse returns the number of targets that share the flows of this data centre.
func (s *service) targetsInUse() int {
	if n := len(s.near.targets); n > 0 {
		return n
	}
	n := 0
	for _, g := range s.far {
		n += len(g.targets)
	}
	return n
}

// OutlierChange reports that a target started or stopped failing more requests than others.
type OutlierChange struct {
	Target  TargetID
	Failing bool
	Share   float64 // of bad requests, above that of the service
	Own     Outcome // outcomes at this balancer
	Peers   Outcome // outcomes reported by peers
}

// noteOutlierChange records a change of the target's failing state, with hysteresis. excess is
// the share of bad requests above that of the service.
func (f *Forwarder) noteOutlierChange(t *target, excess float64) {
	failing := t.extraLoad > failingLoad || t.failing && t.extraLoad > failingLoad/2
	if failing == t.failing || len(f.outcomes.changes) == maxOutlierChanges {
		return
	}
	t.failing = failing
	f.outcomes.changes = append(f.outcomes.changes, OutlierChange{t.ID, failing, excess, t.record.Outcome, t.peerOutcome})
}

// maxOutlierChanges is the maximum number of changes kept until the next call of
// OutlierChanges.
const maxOutlierChanges = 64

// OutlierChanges returns the changes since the last call.
func (f *Forwarder) OutlierChanges() []OutlierChange {
	out := f.outcomes.changes
	f.outcomes.changes = nil
	return out
}

// updateScores decays the counts of all targets with recent bad requests. It is called on
// each tick.
func (f *Forwarder) updateScores(now time.Duration) {
	for _, t := range sortedByID(f.outcomes.recentlyFailed) {
		f.updateScore(now, t)
		if t.record.Plus(t.peerOutcome).Bad < minTrackedBad && !t.failing {
			t.extraLoad = 0
			delete(f.outcomes.recentlyFailed, t)
		}
	}
}

// Outcomes returns the request outcomes to report to peers, for the targets that failed
// requests at this balancer.
func (f *Forwarder) Outcomes(now time.Duration) map[TargetID]Outcome {
	out := map[TargetID]Outcome{}
	for t := range f.outcomes.recentlyFailed {
		s := f.service(t.Service)
		t.record.decay(now)
		s.record.decay(now)
		if t.record.Bad >= minReportedBad && s.record.share(0) < maxReportableShare {
			out[t.ID] = t.record.Outcome
		}
	}
	return out
}

// BadSeen reports whether a request has had a bad outcome since the last call.
func (f *Forwarder) BadSeen() bool {
	seen := f.outcomes.badSeen
	f.outcomes.badSeen = false
	return seen
}

// SetPeerOutcomes replaces the sums of the outcomes reported by peers. spread is the number
// of balancers, this one included, that share the flows of the data centre.
func (f *Forwarder) SetPeerOutcomes(sums map[TargetID]Outcome, spread int) {
	f.outcomes.balancers = spread
	for t := range f.outcomes.recentlyFailed {
		t.peerOutcome = Outcome{}
	}
	for id, o := range sums {
		if t := f.targets[id]; t != nil {
			t.peerOutcome = o
			f.outcomes.recentlyFailed[t] = true
		}
	}
}

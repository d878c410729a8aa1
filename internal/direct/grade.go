package direct

import (
	"net/netip"
	"time"
)

const (
	// failingWeight is the load, in requests per slot, that a target seems to
	// have more if it fails all requests and no other target any. One that fails
	// four tenths while one in nine of all requests fails is so left until the
	// others have a queue of four requests for each slot, beyond which they turn
	// requests away.
	//
	// Gain: of 3,369 requests 147 instead of 408 met a failure while four of 14
	// targets answered four tenths with errors, and 0.958 instead of 0.883 made
	// their goal while these were five times slower; 173 and 0.939 with half the
	// weight (TestFailingTargetsAreLeft, TestSlowTargetsAreLeft).
	failingWeight = 16
	// failingLoad is the extra load from which on a target counts as failing in
	// logs and status, and half of it ends that.
	failingLoad = 2.0
	// worthTelling is the number of bad requests from which on others are told:
	// one that was not answered, or two that were slow.
	worthTelling = 0.9
	// forgottenBad is the number of bad requests below which a target is no longer
	// looked at: what one leaves after three memories.
	forgottenBad = 0.05
	// blindShare is the share of bad requests in a service from which on this
	// balancer's findings tell more of itself or of all targets, and stay here.
	blindShare = 0.5
)

// ends is what is known of how requests end.
type ends struct {
	usuals   map[netip.AddrPort]*usual // by route
	routes   []*usual                  // the same in the order in which they were first seen
	queue    waits                     // requests that wait to be judged
	doubtful map[*target]bool          // targets that failed requests lately
	counts   [answers]uint64           // of requests, by how they ended
	news     []OutlierChange               // see GradeNews
	badSeen  bool                      // see BadSeen
	spread   int                       // see SetPeerOutcomes
}

func newEnds() ends {
	return ends{usuals: map[netip.AddrPort]*usual{}, doubtful: map[*target]bool{}}
}

// noted takes the end of a request to a target.
func (f *Forwarder) noted(now time.Duration, t *target, a Answer) {
	f.ends.counts[a]++
	if f.without.Has(OutlierDetection) {
		return
	}
	f.service(t.Service).record.add(now, a)
	t.record.add(now, a)
	if a.weight() > 0 {
		f.ends.doubtful[t] = true
		f.ends.badSeen = true
		f.grade(now, t)
	}
}

// grade works out how much more loaded a target is to look, since it fails more
// of its requests than others do.
//
// Failure: a target fails requests while its health check is good, or hangs, or
// is slow. It shows as callers that end flows early and ask again, or wait in
// vain; being idle, it would draw ever more flows. Compared with the service as
// a whole, so that a fault of all targets, of the callers or of this balancer
// changes nothing; as a load, so that a false alarm cannot empty a service.
func (f *Forwarder) grade(now time.Duration, t *target) {
	s := f.service(t.Service)
	t.record.fade(now)
	s.record.fade(now)
	// Others tell only of targets that fail, so that the good requests which they
	// had there are estimated: as many as any target's.
	all := (s.record.Good + s.record.Bad) * float64(max(f.ends.spread, 1)) / float64(max(s.here(), 1))
	bad := t.record.Plus(t.peerOutcome).share(all) - s.record.share(0)
	t.extra = failingWeight * max(bad, 0)
	f.tellGrade(t, bad)
}

// here returns the number of targets that this data centre's flows are spread
// over.
func (s *service) here() int {
	if n := len(s.near.targets); n > 0 {
		return n
	}
	n := 0
	for _, g := range s.far {
		n += len(g.targets)
	}
	return n
}

// OutlierChange is a change of belief about a target.
type OutlierChange struct {
	Target  TargetID
	Failing bool
	Share   float64 // of bad requests above that of its service
	Own     Outcome // of this balancer's requests
	Peers   Outcome // told by others
}

func (f *Forwarder) tellGrade(t *target, share float64) {
	failing := t.extra > failingLoad || t.failing && t.extra > failingLoad/2
	if failing == t.failing || len(f.ends.news) == maxGradeNews {
		return
	}
	t.failing = failing
	f.ends.news = append(f.ends.news, OutlierChange{t.ID, failing, share, t.record.Outcome, t.peerOutcome})
}

// maxGradeNews bounds the changes that wait to be taken.
const maxGradeNews = 64

// OutlierChanges returns the changes of belief since the last call.
func (f *Forwarder) OutlierChanges() []OutlierChange {
	out := f.ends.news
	f.ends.news = nil
	return out
}

// regrade is due at each tick: counts fade, and doubts with them.
func (f *Forwarder) regrade(now time.Duration) {
	for _, t := range inOrder(f.ends.doubtful) {
		f.grade(now, t)
		if t.record.Plus(t.peerOutcome).Bad < forgottenBad && !t.failing {
			t.extra = 0
			delete(f.ends.doubtful, t)
		}
	}
}

// Outcomes returns what is worth telling other balancers: how the requests of
// this one ended at targets that failed some.
func (f *Forwarder) Outcomes(now time.Duration) map[TargetID]Outcome {
	out := map[TargetID]Outcome{}
	for t := range f.ends.doubtful {
		s := f.service(t.Service)
		t.record.fade(now)
		s.record.fade(now)
		if t.record.Bad >= worthTelling && s.record.share(0) < blindShare {
			out[t.ID] = t.record.Outcome
		}
	}
	return out
}

// BadSeen reports, once, whether a request has ended badly since the last call.
func (f *Forwarder) BadSeen() bool {
	seen := f.ends.badSeen
	f.ends.badSeen = false
	return seen
}

// SetPeerOutcomes replaces the sums of what the other balancers tell. The flows
// of a data centre are spread over so many balancers, this one included.
func (f *Forwarder) SetPeerOutcomes(sums map[TargetID]Outcome, spread int) {
	f.ends.spread = spread
	for t := range f.ends.doubtful {
		t.peerOutcome = Outcome{}
	}
	for id, o := range sums {
		if t := f.targets[id]; t != nil {
			t.peerOutcome = o
			f.ends.doubtful[t] = true
		}
	}
}

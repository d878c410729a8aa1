package direct

import (
	"fmt"
	"sort"
	"time"
)

// load generates requests like the users' mix: about three quarters on long flows with one
// request a second, the rest on flows of their own.
func (r *replay) load(centre int, perSecond float64, until time.Duration) {
	long := int(perSecond * 0.77)
	for range long {
		r.longFlowCaller(centre, until)
	}
	short := perSecond * 0.23 // requests a second on flows of their own
	var next func()
	next = func() {
		if r.now > until {
			return
		}
		r.request(centre, false, r.work(39))
		r.after(r.exp(1/short), next)
	}
	r.after(r.exp(1/short), next)
}

// longFlowCaller simulates a caller that keeps one flow open and sends about one request a
// second.
func (r *replay) longFlowCaller(centre int, until time.Duration) {
	var fl *simFlow
	var next func()
	next = func() {
		if r.now > until {
			return
		}
		switch {
		case fl == nil || fl.dead:
			fl = r.request(centre, true, r.work(30))
		case fl.waiting == nil && r.perFlow > 0 && r.rng.IntN(r.perFlow) == 0:
			r.close(fl)
			fl = r.request(centre, true, r.work(30))
		case fl.waiting == nil:
			r.requests++
			r.sendRequest(fl, &simRequest{startedAt: r.now, work: r.work(30)})
		}
		r.after(r.exp(1), next)
	}
	r.after(r.exp(1), next)
}

// close ends a flow at the caller.
func (r *replay) close(fl *simFlow) {
	fl.dead = true
	last := fl.seg
	last.Flags |= FIN
	r.after(simCaller, func() { r.send(fl, &last, nil) })
}

// work returns a random work time. mean is in milliseconds, before workFactor.
func (r *replay) work(mean float64) time.Duration {
	x := r.workFactor * mean * (0.5 + r.rng.ExpFloat64()*0.5)
	return time.Duration(min(x, 6*r.workFactor*mean) * float64(time.Millisecond))
}

// exp returns an exponentially distributed time with a mean of so many seconds.
func (r *replay) exp(seconds float64) time.Duration {
	return time.Duration(r.rng.ExpFloat64() * seconds * float64(time.Second))
}

// share returns n as a share of the requests.
func (r *replay) share(n int) float64 { return float64(n) / float64(r.requests) }

// String summarises the replay.
func (r *replay) String() string {
	served := make([]int, 0, len(r.targets))
	for _, t := range r.targets {
		served = append(served, t.served)
	}
	sort.Ints(served)
	return fmt.Sprintf("requests %d, in goal %.3f, late %.3f, refused %d, failed %d, far %.2f, busiest/mean %.2f, served %v",
		r.requests, r.share(r.inGoal), r.share(r.late), r.refused, r.failed,
		float64(r.far)/float64(max(r.opened, 1)), r.sum.busiest/r.sum.mean, served)
}

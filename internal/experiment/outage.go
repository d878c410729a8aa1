package experiment

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"
)

// Outage prints what callers lose while all balancers are without power, whatever the
// balancers do: callers repeat at fixed times, and what they send before a balancer is
// back is lost. It bounds what a day with such an outage can reach.
func Outage(_ context.Context, args []string) error {
	fs := flag.NewFlagSet("outage", flag.ContinueOnError)
	o := outage{}
	fs.DurationVar(&o.down, "down", 1100*time.Millisecond, "time without power")
	fs.DurationVar(&o.least, "start-least", 60*time.Millisecond, "from power to the first balancer that forwards")
	fs.DurationVar(&o.most, "start-most", 500*time.Millisecond, "from power to the last one")
	fs.DurationVar(&o.goal, "goal", 200*time.Millisecond, "response time that callers expect")
	fs.DurationVar(&o.deadline, "deadline", 2*time.Second, "after which an answer is worthless")
	fs.DurationVar(&o.work, "work", 45*time.Millisecond, "time that a request takes when nothing is wrong")
	fs.Float64Var(&o.fresh, "fresh", 0.07, "share of requests on flows of their own")
	fs.Float64Var(&o.late, "late", 0.3, "worth of a late answer")
	if err := fs.Parse(args); err != nil {
		return err
	}
	fmt.Println(o.run(1))
	return nil
}

// outage is what an outage of all balancers is made of. It begins at 0.
type outage struct {
	down, least, most    time.Duration
	goal, deadline, work time.Duration
	fresh, late          float64
}

// outageLoss sums up the requests sent in the two worst windows.
type outageLoss struct {
	windows      float64 // mean worth of the two worst windows
	late, failed float64 // requests, in seconds of the usual load
}

// String sums the loss up.
func (l outageLoss) String() string {
	return fmt.Sprintf("worst two windows of 2 s: %.3f; late and failed, in seconds of the usual load: %.2f and %.2f",
		l.windows, l.late, l.failed)
}

// Times of callers, by the platform's protocol: copies of an opening and repeats of
// data, from the first packet on, and when an opening is given up.
var (
	openingCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	dataRepeats   = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond, 4600 * time.Millisecond}
)

const (
	openingGivenUp = 1400 * time.Millisecond
	outageTries    = 3 // of a caller, the first included
	outageSamples  = 400_000
	outageWindow   = 2 * time.Second
)

// run draws requests around the outage and averages the worst windows over where they
// may begin.
func (o outage) run(seed uint64) outageLoss {
	rng := rand.New(rand.NewPCG(seed, 1))
	const from, to = -4 * time.Second, 6 * time.Second
	worth := make([]float64, outageSamples)
	at := make([]time.Duration, outageSamples)
	var l outageLoss
	for i := range worth {
		at[i] = from + time.Duration(rng.Int64N(int64(to-from)))
		took, ok := o.request(rng, at[i])
		switch {
		case !ok:
			l.failed++
		case took > o.goal:
			worth[i] = o.late
			l.late++
		default:
			worth[i] = 1
		}
	}
	perSecond := outageSamples / (to - from).Seconds()
	l.late /= perSecond
	l.failed /= perSecond
	l.windows = worstTwo(at, worth, from, to)
	return l
}

// request returns how long a request takes that is sent at a time, and whether it is
// answered before its deadline.
func (o outage) request(rng *rand.Rand, sent time.Duration) (time.Duration, bool) {
	up := o.back(rng)
	if rng.Float64() >= o.fresh {
		took, ok := arrives(dataRepeats, sent, up)
		took += o.work
		return took, ok && took <= o.deadline
	}
	waited := time.Duration(0)
	for range outageTries {
		took, ok := arrives(openingCopies, sent+waited, up)
		if ok {
			took += waited + o.work
			return took, took <= o.deadline
		}
		waited += openingGivenUp
		up = o.back(rng)
	}
	return 0, false
}

// back draws when the balancer that a flow comes to forwards again.
func (o outage) back(rng *rand.Rand) time.Duration {
	return o.down + o.least + time.Duration(rng.Int64N(int64(max(o.most-o.least, 1))))
}

// arrives returns which of a caller's packets meets a balancer that forwards.
func arrives(sends []time.Duration, first, up time.Duration) (time.Duration, bool) {
	for _, d := range sends {
		if t := first + d; t < 0 || t >= up {
			return d, true
		}
	}
	return 0, false
}

// worstTwo returns the mean worth of the two worst windows, averaged over ten places
// where the windows may begin.
func worstTwo(at []time.Duration, worth []float64, from, to time.Duration) float64 {
	const places = 10
	sum := 0.0
	for p := range places {
		shift := outageWindow * time.Duration(p) / places
		n := int((to - from) / outageWindow)
		total, count := make([]float64, n+1), make([]float64, n+1)
		for i, t := range at {
			w := int((t - from + shift) / outageWindow)
			total[w] += worth[i]
			count[w]++
		}
		first, second := 1.0, 1.0
		for w := 1; w < n; w++ { // the first and the last may be cut
			x := total[w] / max(count[w], 1)
			switch {
			case x < first:
				first, second = x, first
			case x < second:
				second = x
			}
		}
		sum += (first + second) / 2
	}
	return sum / places
}

package experiment

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"
)

// Outage simulates a power outage of all balancers and prints the unavoidable losses.
// Callers retransmit at fixed times, and packets sent before a balancer forwards again are
// lost. The result is an upper bound for the worth of a day with such an outage.
func Outage(_ context.Context, args []string) error {
	fs := flag.NewFlagSet("outage", flag.ContinueOnError)
	o := outage{}
	fs.DurationVar(&o.down, "down", 1100*time.Millisecond, "time without power")
	fs.DurationVar(&o.minStart, "start-least", 60*time.Millisecond, "time from power to the first balancer that forwards")
	fs.DurationVar(&o.maxStart, "start-most", 500*time.Millisecond, "time from power to the last balancer that forwards")
	fs.DurationVar(&o.goal, "goal", 200*time.Millisecond, "response time above which an answer is late")
	fs.DurationVar(&o.deadline, "deadline", 2*time.Second, "time after which an answer is worthless")
	fs.DurationVar(&o.work, "work", 45*time.Millisecond, "response time without faults")
	fs.Float64Var(&o.newFlowShare, "fresh", 0.07, "share of requests that open a flow of their own")
	fs.Float64Var(&o.lateWorth, "late", 0.3, "worth of a late answer")
	if err := fs.Parse(args); err != nil {
		return err
	}
	fmt.Println(o.run(1))
	return nil
}

// outage holds the parameters of an outage that begins at time 0. The command's flags
// describe them.
type outage struct {
	down, minStart, maxStart time.Duration
	goal, deadline, work     time.Duration
	newFlowShare, lateWorth  float64
}

// outageLoss is the result of a simulated outage.
type outageLoss struct {
	worstWindows float64 // mean worth of the two worst windows
	late, failed float64 // requests, in seconds of normal load
}

// String returns the loss in one line.
func (l outageLoss) String() string {
	return fmt.Sprintf("worst two windows of 2 s: %.3f; late and failed, in seconds of normal load: %.2f and %.2f",
		l.worstWindows, l.late, l.failed)
}

// Times at which callers send an opening packet and data, since the first transmission. They
// follow from the platform's protocol, as does openingTimeout.
var (
	openingSends = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	dataSends    = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond, 4600 * time.Millisecond}
)

const (
	openingTimeout = 1400 * time.Millisecond // after which a caller abandons an opening
	outageAttempts = 3                       // openings of a caller, including the first
	outageSamples  = 400_000                 // simulated requests
	outageWindow   = 2 * time.Second         // length of a window
)

// run simulates requests at random times around the outage. The worth of a request is 1 if
// its answer is in time, lateWorth if it is late, and 0 if it failed.
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
			worth[i] = o.lateWorth
			l.late++
		default:
			worth[i] = 1
		}
	}
	perSecond := outageSamples / (to - from).Seconds()
	l.late /= perSecond
	l.failed /= perSecond
	l.worstWindows = worstTwo(at, worth, from, to)
	return l
}

// request simulates a request sent at the given time. It returns the response time and
// whether the answer arrives before the deadline.
func (o outage) request(rng *rand.Rand, sent time.Duration) (time.Duration, bool) {
	up := o.recoveredAt(rng)
	if rng.Float64() >= o.newFlowShare {
		took, ok := firstDelivered(dataSends, sent, up)
		took += o.work
		return took, ok && took <= o.deadline
	}
	waited := time.Duration(0)
	for range outageAttempts {
		took, ok := firstDelivered(openingSends, sent+waited, up)
		if ok {
			took += waited + o.work
			return took, took <= o.deadline
		}
		waited += openingTimeout
		up = o.recoveredAt(rng)
	}
	return 0, false
}

// recoveredAt draws the time at which the balancer of a flow forwards again.
func (o outage) recoveredAt(rng *rand.Rand) time.Duration {
	return o.down + o.minStart + time.Duration(rng.Int64N(int64(max(o.maxStart-o.minStart, 1))))
}

// firstDelivered returns the time from a caller's first transmission to the first one that
// reaches a forwarding balancer, and false if none does.
func firstDelivered(sends []time.Duration, first, up time.Duration) (time.Duration, bool) {
	for _, d := range sends {
		if t := first + d; t < 0 || t >= up {
			return d, true
		}
	}
	return 0, false
}

// worstTwo returns the mean worth of the two worst windows, averaged over ten offsets of
// the windows.
func worstTwo(at []time.Duration, worth []float64, from, to time.Duration) float64 {
	const offsets = 10
	sum := 0.0
	for p := range offsets {
		shift := outageWindow * time.Duration(p) / offsets
		n := int((to - from) / outageWindow)
		total, count := make([]float64, n+1), make([]float64, n+1)
		for i, t := range at {
			w := int((t - from + shift) / outageWindow)
			total[w] += worth[i]
			count[w]++
		}
		first, second := 1.0, 1.0
		for w := 1; w < n; w++ { // the first and the last window may be incomplete
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
	return sum / offsets
}

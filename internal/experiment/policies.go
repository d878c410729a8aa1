package experiment

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/balance"
)

// policyResult is the result of a policyRun.
type policyResult struct {
	imbalance      float64 // mean over samples, percent
	worstImbalance float64 // largest sample, percent
	firstCandidate float64 // share of flows at their first candidate, percent
}

// run simulates six mean durations of a stream and samples the imbalance every second. The
// first two are left out, in which the number of open streams is still growing.
func (p policyRun) run(seed uint64) policyResult {
	s := p.start(seed)
	var res policyResult
	samples := 0
	for now := time.Duration(0); now < 6*p.meanDuration; now += simStep {
		s.step(now)
		if now > 2*p.meanDuration && now%time.Second == 0 {
			i := Imbalance(s.totals())
			res.imbalance += i
			res.worstImbalance = max(res.worstImbalance, i)
			samples++
		}
	}
	res.imbalance /= float64(max(samples, 1))
	opened := 0
	for _, n := range s.opened {
		opened += n
	}
	res.firstCandidate = 100 * float64(s.atFirst) / float64(max(opened, 1))
	return res
}

// Policies simulates the policies for choosing a stream's target under the same
// load and prints Markdown tables.
func Policies(_ context.Context, args []string) error {
	fs := flag.NewFlagSet("policies", flag.ContinueOnError)
	seeds := fs.Int("seeds", 3, "runs of each case, of which the median is printed")
	if err := fs.Parse(args); err != nil {
		return err
	}
	base := policyRun{homes: 7, targets: 14, meanDuration: 20 * time.Second, reportInterval: 1500 * time.Millisecond}
	policyTable(base, *seeds)
	restartTable(base, *seeds)
	busyTable(base, *seeds)
	return nil
}

func policyTable(base policyRun, seeds int) {
	fmt.Println("| policy | slack | report every | streams | imbalance % (mean) | worst % | first candidate % |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, streams := range []int{300, 1400, 14000} {
		for _, c := range []struct {
			policy balance.Policy
			slack  float64
			report time.Duration
		}{
			{balance.Hash, 0, 0}, {balance.TwoChoices, 0, 0}, {balance.Least, 0, 0}, {balance.Least, 0, 15 * time.Second},
			{balance.Bounded, 0, 0}, {balance.Bounded, 0.025, 0}, {balance.Bounded, 0.05, 0},
			{balance.Bounded, 0.1, 0}, {balance.Bounded, 0.15, 0}, {balance.Bounded, 0.25, 0},
		} {
			r := base
			r.policy, r.slack, r.streams = c.policy, c.slack, streams
			if c.report > 0 {
				r.reportInterval = c.report
			}
			m := median(seeds, r.run, func(x policyResult) float64 { return x.imbalance })
			fmt.Printf("| %s | %.3f | %v | %d | %.1f | %.1f | %.0f |\n", c.policy, c.slack, r.reportInterval, streams, m.imbalance, m.worstImbalance, m.firstCandidate)
		}
	}
}

// median calls f with the seeds from 1 on and returns the result with the median key.
func median[T any](seeds int, f func(seed uint64) T, key func(T) float64) T {
	var all []T
	for s := range seeds {
		all = append(all, f(uint64(s+1)))
	}
	slices.SortFunc(all, func(a, b T) int {
		if key(a) < key(b) {
			return -1
		}
		return 1
	})
	return all[len(all)/2]
}

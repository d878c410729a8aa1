package experiment

import (
	"fmt"
	"time"

	"rosedale.dev/rosedale/internal/balance"
)

// restartRun restarts one target under load: its streams end, and it returns
// without streams and warms up.
type restartRun struct {
	policyRun
	down time.Duration // time until the target returns
}

// restartResult is the result of a restartRun for the restarted target.
type restartResult struct {
	firstSecond    float64       // its new streams in one second, as a multiple of an equal share
	tenSeconds     float64       // the same over ten seconds
	recovered      time.Duration // until it has recoveredShare of the average
	worstImbalance float64       // largest imbalance of the other targets' streams after its return, percent
}

// recoveredShare is the percentage of the average number of streams at which a target
// counts as recovered.
const recoveredShare = 90

func (c restartRun) run(seed uint64) restartResult {
	s := c.start(seed)
	var res restartResult
	stopped := 3 * c.meanDuration
	returned := stopped + c.down
	openedBefore := [2]int{}
	for now := time.Duration(0); now < returned+6*c.meanDuration; now += simStep {
		switch now {
		case stopped:
			s.setTargets(now, 0)
			s.endStreams(0)
		case returned:
			s.setTargets(now, -1)
			openedBefore[0] = s.opened[0]
		}
		s.step(now)
		if now < returned {
			continue
		}
		share := float64(s.streams) / s.meanDuration.Seconds() / float64(s.targets)
		switch since := now - returned; since {
		case time.Second:
			res.firstSecond = float64(s.opened[0]-openedBefore[0]) / share
		case 10 * time.Second:
			res.tenSeconds = float64(s.opened[0]-openedBefore[0]) / share / 10
		}
		if res.recovered == 0 && s.belowAverage(0) <= 100-recoveredShare {
			res.recovered = now - returned
		}
		if now%time.Second == 0 {
			res.worstImbalance = max(res.worstImbalance, Imbalance(s.totals()[1:]))
		}
	}
	return res
}

func restartTable(base policyRun, seeds int) {
	fmt.Println("\n| policy | ramp | new streams in 1 s, × equal share | in 10 s | s until 90 % of the average | worst imbalance of the others % |")
	fmt.Println("|---|---|---|---|---|---|")
	base.streams = 1400
	for _, p := range []balance.Policy{balance.Hash, balance.Least, balance.Bounded} {
		for _, ramp := range []time.Duration{0, 5 * time.Second, 10 * time.Second, 30 * time.Second} {
			c := restartRun{policyRun: base, down: 5 * time.Second}
			c.policy, c.slack, c.ramp = p, balance.MaxSlack, ramp
			m := median(seeds, c.run, func(x restartResult) float64 { return x.tenSeconds })
			fmt.Printf("| %s | %v | %.1f | %.1f | %.1f | %.1f |\n", p, ramp, m.firstSecond, m.tenSeconds, m.recovered.Seconds(), m.worstImbalance)
		}
	}
}

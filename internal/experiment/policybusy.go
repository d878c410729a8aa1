package experiment

import (
	"fmt"
	"time"

	"rosedale.dev/rosedale/internal/balance"
)

// reportUse says how homes treat the load that targets report.
type reportUse string

const (
	reportsIgnored reportUse = "ignored"
	reportsAged    reportUse = "aged out"
	reportsKept    reportUse = "kept for ever"
)

// busyRun gives one target work from outside the system, which only its load
// reports show. When that work ends, the target's load endpoint stops answering.
type busyRun struct {
	policyRun
	use       reportUse
	reportLag time.Duration // age of a report when homes get it
}

// busyResult is the result of a busyRun for the busy target.
type busyResult struct {
	excess          float64       // its work above the average while busy, percent
	shortfall       float64       // its streams below the average a minute after, percent
	restored        time.Duration // until it has recoveredShare of the average again
	imbalanceBefore float64       // imbalance of streams before it is busy, percent
}

const (
	averageLoad       = 0.5         // reported load, where 1 is full, of a target with an average number of streams
	externalLoad      = 0.5         // added to the load of the busy target
	loadInterval      = time.Second // between two load reports of a target
	busyMeanDurations = 3           // length of the busy time, in mean durations of a stream
)

func (b busyRun) run(seed uint64) busyResult {
	s := b.start(seed)
	var res busyResult
	began := 3 * b.meanDuration
	ended := began + busyMeanDurations*b.meanDuration
	var history [][]float64
	samples, samplesBefore := 0, 0
	for now := time.Duration(0); now < ended+4*b.meanDuration; now += simStep {
		s.step(now)
		busy := now >= began && now < ended
		if now%loadInterval != 0 {
			continue
		}
		l := s.totals()
		history = append(history, b.reported(l, busy))
		b.report(s, now, ended, history)
		switch {
		case now > began-b.meanDuration && now < began:
			res.imbalanceBefore += Imbalance(l)
			samplesBefore++
		case busy && now > began+b.meanDuration:
			l[0] += mean(l) * externalLoad / averageLoad
			res.excess += 100 * (l[0] - mean(l)) / mean(l)
			samples++
		case now == ended+time.Minute:
			res.shortfall = s.belowAverage(0)
		}
		if now >= ended && res.restored == 0 && s.belowAverage(0) <= 100-recoveredShare {
			res.restored = now - ended
		}
	}
	res.excess /= float64(samples)
	res.imbalanceBefore /= float64(samplesBefore)
	return res
}

// reported returns the load that each target's endpoint reports.
func (b busyRun) reported(streams []float64, busy bool) []float64 {
	out := make([]float64, len(streams))
	averageStreams := float64(b.streams) / float64(b.targets)
	for i, n := range streams {
		out[i] = averageLoad * n / averageStreams
	}
	if busy {
		out[0] += externalLoad
	}
	return out
}

// report passes to every home the load reports that are reportLag old. After the busy time
// the busy target sends none; with reportsKept, homes get its last one again each time.
func (b busyRun) report(s *policySim, now, ended time.Duration, history [][]float64) {
	at := len(history) - 1 - int(b.reportLag/loadInterval)
	if at < 0 || b.use == reportsIgnored {
		return
	}
	for i, load := range history[at] {
		if silent := i == 0 && now > ended; silent {
			if b.use == reportsAged {
				continue
			}
			load = history[int(ended/loadInterval)-1][0]
		}
		for _, p := range s.pools {
			p.ReportLoad(now, uint32(i+1), load)
		}
	}
}

func busyTable(base policyRun, seeds int) {
	fmt.Println("\n| reported load | lag | imbalance before % | busy target's work over the average % | its streams under the average a minute after % | s until 90 % of the average |")
	fmt.Println("|---|---|---|---|---|---|")
	base.streams, base.policy, base.slack = 1400, balance.Bounded, balance.MaxSlack
	for _, use := range []reportUse{reportsIgnored, reportsAged, reportsKept} {
		for _, lag := range []time.Duration{0, 5 * time.Second, 15 * time.Second} {
			if use == reportsIgnored && lag > 0 {
				continue
			}
			b := busyRun{policyRun: base, use: use, reportLag: lag}
			m := median(seeds, b.run, func(x busyResult) float64 { return x.excess })
			restored := "never"
			if m.restored > 0 {
				restored = fmt.Sprintf("%.0f", m.restored.Seconds())
			}
			fmt.Printf("| %s | %v | %.1f | %.1f | %.1f | %s |\n", use, lag, m.imbalanceBefore, m.excess, m.shortfall, restored)
		}
	}
}

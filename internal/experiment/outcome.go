// Package experiment runs scenarios on a deployment of real processes and
// reports what the users measure: broken flows and imbalance, with the
// refusals, retries and control cost behind them.
package experiment

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"rosedale.dev/rosedale/internal/standin/caller"
)

// Outcome is one scenario's result.
type Outcome struct {
	Scenario  string
	Callers   caller.Result
	Imbalance map[string]float64 // by service and unit, in percent
	MaxSlots  int                // most slots in use at any target
	Shed      int                // openings that targets refused
	Counters  map[string]float64 // growth over the run, summed over balancers
	ControlBS float64            // control bytes a second and VM, in and out
	CPU       float64            // share of a core for each VM, whole process
	StoreRPS  float64            // store calls a second, all balancers
	InForce   []time.Duration    // from the write to each balancer's use
	Took      time.Duration
	Traces    []string        // what was logged about the first flows that broke
	outside   map[string]bool // targets that the scenario takes out of use
}

// Broken returns the share of opened flows that broke, in percent.
func (o *Outcome) Broken() float64 {
	opened := o.Callers.StreamsOpened + o.Callers.Answered + o.Callers.Broken + o.Callers.TimedOut
	if opened == 0 {
		return 0
	}
	return 100 * float64(o.Callers.StreamsBroken+o.Callers.Broken) / float64(opened)
}

// Violations lists broken promises: what must never happen, whatever fails.
// Planned says that the scenario only did what operators do, so that no flow
// may break either.
func (o *Outcome) Violations(planned bool) []string {
	var out []string
	add := func(n int, what string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%d %s", n, what))
		}
	}
	c := o.Callers
	add(c.WrongService, "answers of another service")
	add(c.Crossed, "answers to another caller")
	add(c.RunTwice, "requests run twice: "+strings.Join(c.Twice, "; "))
	add(c.RefusedButRun, "requests refused but run")
	add(c.AnsweredNotRun, "requests answered but not run")
	if planned {
		add(c.StreamsBroken, "streams broken")
		add(c.Broken, "requests broken")
		add(c.StreamsFailed, "streams not opened")
	}
	return out
}

// Percentile returns a percentile of the times until a change was in force.
func (o *Outcome) Percentile(q float64) time.Duration {
	if len(o.InForce) == 0 {
		return 0
	}
	d := append([]time.Duration(nil), o.InForce...)
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[int(q*float64(len(d)-1))]
}

// Reasons returns the counters with a prefix that grew, as text.
func (o *Outcome) Reasons(prefix string) string { return o.grown("packets_", prefix) }

// grown returns the counters whose names begin with family and prefix and that
// grew, without the family's name.
func (o *Outcome) grown(family, prefix string) string {
	var out []string
	for k, v := range o.Counters {
		if strings.HasPrefix(k, family+prefix) && v > 0 {
			out = append(out, fmt.Sprintf("%s %.0f", strings.TrimPrefix(k, family), v))
		}
	}
	if len(out) == 0 {
		return "none"
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// Imbalance returns (max-avg)/avg in percent, equation 1 of the EC-Cache paper
// (Rashmi et al., OSDI 2016).
func Imbalance(loads []float64) float64 {
	sum, most := 0.0, 0.0
	for _, l := range loads {
		sum += l
		most = max(most, l)
	}
	if sum == 0 {
		return 0
	}
	avg := sum / float64(len(loads))
	return 100 * (most - avg) / avg
}

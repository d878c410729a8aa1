// Package experiment runs scenarios on a deployment of real processes and
// reports broken flows and imbalance, together with refusals, retries and the
// cost of the control plane. It also holds simulations of parts of the system.
package experiment

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"rosedale.dev/rosedale/internal/standin/caller"
)

// Outcome is the result of one scenario.
type Outcome struct {
	Scenario  string
	Callers   caller.Result
	Imbalance map[string]float64 // by service and unit (requests, streams or slots), in percent
	MaxSlots  int                // largest number of slots in use at any target
	Shed      int                // openings that targets refused
	Counters  map[string]float64 // increase over the run, summed over balancers
	ControlBS float64            // control bytes per second and VM, in and out
	CPU       float64            // share of a core per VM, of the whole process
	StoreRPS  float64            // store calls per second of all balancers
	InForce   []time.Duration    // from a write until in force, for each write and balancer
	Took      time.Duration      // length of the run
	Traces    []string           // log lines about the first flows that broke
	excluded  map[string]bool    // targets that the scenario takes out of use
}

// Broken returns the percentage of opened flows that broke.
func (o *Outcome) Broken() float64 {
	opened := o.Callers.StreamsOpened + o.Callers.Answered + o.Callers.Broken + o.Callers.TimedOut
	if opened == 0 {
		return 0
	}
	return 100 * float64(o.Callers.StreamsBroken+o.Callers.Broken) / float64(opened)
}

// Violations lists the results that must not occur under any fault. If planned, the
// scenario consists only of operators' actions, so that broken flows are
// violations too.
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

// Percentile returns the quantile q, between 0 and 1, of the times until a change was in
// force, or 0 if no change was made.
func (o *Outcome) Percentile(q float64) time.Duration {
	if len(o.InForce) == 0 {
		return 0
	}
	d := append([]time.Duration(nil), o.InForce...)
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[int(q*float64(len(d)-1))]
}

// Reasons returns as text the increased packet counters whose names, after packets_,
// begin with a prefix.
func (o *Outcome) Reasons(prefix string) string { return o.increases("packets_", prefix) }

// increases returns, as text, the increased counters whose names begin with
// family and prefix. Family is left out of the text.
func (o *Outcome) increases(family, prefix string) string {
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

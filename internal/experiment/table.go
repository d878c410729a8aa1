package experiment

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Table returns outcomes as text, one block for each.
func Table(outcomes []*Outcome) string {
	var s strings.Builder
	for _, o := range outcomes {
		c := o.Callers
		row := func(name, format string, args ...any) {
			_, _ = fmt.Fprintf(&s, "  %-28s %s\n", name, fmt.Sprintf(format, args...))
		}
		_, _ = fmt.Fprintf(&s, "%s (%.0f s)\n", o.Scenario, o.Took.Seconds())
		row("streams opened, broken", "%d, %d (not opened %d)", c.StreamsOpened, c.StreamsBroken, c.StreamsFailed)
		row("requests", "%d: answered %d, refused %d, broken %d, timed out %d", c.Requests, c.Answered, c.Refused, c.Broken, c.TimedOut)
		row("broken flows", "%.3f %%", o.Broken())
		row("wrong service, crossed", "%d, %d", c.WrongService, c.Crossed)
		row("run twice, refused but run", "%d, %d", c.RunTwice, c.RefusedButRun)
		for _, k := range keys(o.Imbalance) {
			row("imbalance, "+k, "%.1f %%", o.Imbalance[k])
		}
		row("most slots used, shed", "%d, %d", o.MaxSlots, o.Shed)
		row("request p50, p99", "%.1f ms, %.1f ms", c.P50, c.P99)
		row("opening p50, p99", "%.1f ms, %.1f ms", c.OpenP50, c.OpenP99)
		if c.Refused > 0 {
			row("refused after p50, p99", "%.1f ms, %.1f ms", c.RefusedP50, c.RefusedP99)
		}
		if len(o.InForce) > 0 {
			row("change in force p50 p99 max", "%v, %v, %v", o.Percentile(0.5).Round(time.Millisecond),
				o.Percentile(0.99).Round(time.Millisecond), o.Percentile(1).Round(time.Millisecond))
		}
		row("refused by reason", "%s", o.Reasons("refuse"))
		row("retries by reason", "%s", o.Reasons("retry"))
		row("resets, crossed", "%s; %s", o.Reasons("reset"), o.Reasons("drop_crossed"))
		row("drops by reason", "%s", o.Reasons("drop"))
		row("flows", "%s", o.Reasons("flow"))
		row("control per VM", "%.0f B/s", o.ControlBS)
		row("encoded bytes by kind", "%s", o.increases("link_sent_", ""))
		row("processor per VM", "%.1f %% of a core", 100*o.CPU)
		row("store calls", "%.2f /s", o.StoreRPS)
		if len(c.Errors) > 0 {
			row("callers' errors", "%v", c.Errors)
		}
	}
	return s.String()
}

// keys returns the sorted keys of the positive values.
func keys(m map[string]float64) []string {
	out := make([]string, 0, len(m))
	for k, v := range m {
		if v > 0 {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

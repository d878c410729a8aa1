package experiment

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"rosedale.dev/rosedale/platform"
)

// Account prints, for each of the report files, the worth of the day and its late and
// failed requests by the disturbance that they are attributed to.
func Account(_ context.Context, files []string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "day\tworth\tfailed\tlate\tfailed + late by disturbance that began last")
	for _, file := range files {
		r, err := platform.ReadReport(file)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		fmt.Fprintf(w, "%s\t%.3f\t%d\t%d\t%s\n", name, r.Worth, r.Failed, r.Late, describeLosses(losses(r)))
	}
	return w.Flush()
}

// loss counts the requests that one kind of disturbance made fail or late.
type loss struct{ failed, late int }

const (
	// windowLength is the length of a window in a report.
	windowLength = 2 * time.Second
	// effectAfterEnd is how long after its end a disturbance may still have effects. It
	// covers the callers' deadlines.
	effectAfterEnd = 3 * time.Second
	// noDisturbance is the kind of losses to which no disturbance can be assigned.
	noDisturbance = "no disturbance"
)

// losses attributes each window's late and failed requests to one disturbance, see causeOf.
func losses(r platform.Report) map[string]loss {
	out := map[string]loss{}
	for _, w := range r.Windows {
		if w.Late+w.Failed == 0 {
			continue
		}
		kind := causeOf(r.Events, w.From, w.From+windowLength)
		l := out[kind]
		out[kind] = loss{l.failed + w.Failed, l.late + w.Late}
	}
	return out
}

// causeOf returns the kind of the disturbance that began last among those with effects in
// the time between from and to. Unplanned disturbances go before planned ones.
func causeOf(events []platform.Event, from, to time.Duration) string {
	var cause *platform.Event
	for i := range events {
		e := &events[i]
		if e.From >= to || e.To+effectAfterEnd < from {
			continue
		}
		if cause == nil || cause.Planned && !e.Planned || cause.Planned == e.Planned && e.From > cause.From {
			cause = e
		}
	}
	if cause == nil {
		return noDisturbance
	}
	return cause.Kind
}

func describeLosses(all map[string]loss) string {
	kinds := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(all[b].failed-all[a].failed, all[b].late-all[a].late, cmp.Compare(a, b))
	})
	var parts []string
	for _, k := range kinds {
		parts = append(parts, fmt.Sprintf("%s %d+%d", k, all[k].failed, all[k].late))
	}
	return strings.Join(parts, ", ")
}

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

// Account prints, for each report that is named, which disturbance the late and failed
// requests of the day fall to.
func Account(_ context.Context, files []string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "day\tworth\tfailed\tlate\tfailed and late, by what had begun last")
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

// loss is what callers lost to one kind of disturbance.
type loss struct{ failed, late int }

const (
	// windowLength is that of a report's windows.
	windowLength = 2 * time.Second
	// aftermath is how long a disturbance may show after its end: callers' deadlines.
	aftermath = 3 * time.Second
	// noDisturbance names losses at a time when nothing else was wrong.
	noDisturbance = "nothing under way"
)

// losses attributes each window's late and failed requests to the disturbance that had
// begun last and was not long over, an unplanned one if there is any.
func losses(r platform.Report) map[string]loss {
	out := map[string]loss{}
	for _, w := range r.Windows {
		if w.Late+w.Failed == 0 {
			continue
		}
		kind := blamed(r.Events, w.From, w.From+windowLength)
		l := out[kind]
		out[kind] = loss{l.failed + w.Failed, l.late + w.Late}
	}
	return out
}

func blamed(events []platform.Event, from, to time.Duration) string {
	var best *platform.Event
	for i := range events {
		e := &events[i]
		if e.From >= to || e.To+aftermath < from {
			continue
		}
		if best == nil || best.Planned && !e.Planned || best.Planned == e.Planned && e.From > best.From {
			best = e
		}
	}
	if best == nil {
		return noDisturbance
	}
	return best.Kind
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

package stepback

import (
	"slices"
	"time"
)

const (
	// minOutage is how long openings of a service must have found no target.
	minOutage = 400 * time.Millisecond
	// maxOutage is the longest period that is evaluated. A period longer than minOutage lets
	// a balancer that sees few openings collect minOpenings.
	maxOutage = 2 * time.Second
	// minOpenings is the minimum number of openings of a service that found no target.
	minOpenings = 3
	// maxGap is the longest time between two ticks after which earlier openings count. While
	// a process is paused, answers wait in its socket, and it takes a moment to handle them.
	maxGap = 300 * time.Millisecond
)

// history holds the openings of the last maxOutage.
type history struct {
	lastTick time.Duration
	spans    []span     // oldest first
	latest   []Openings // of the last tick
}

// span holds the openings between two ticks, of services that had any.
type span struct {
	begin, end time.Duration
	openings   []Openings
}

// add adds the openings since the previous tick.
func (h *history) add(now time.Duration, o []Openings) {
	if now-h.lastTick > maxGap {
		h.spans = nil
	}
	s := span{begin: h.lastTick, end: now}
	for _, x := range o {
		if x.Total > 0 {
			s.openings = append(s.openings, x)
		}
	}
	h.spans = append(h.spans, s)
	h.lastTick, h.latest = now, o
	h.spans = slices.DeleteFunc(h.spans, func(s span) bool { return now-s.begin > maxOutage })
}

// servicesOut returns the services whose openings found no target that answered, if these were
// more than half of all openings. It evaluates all periods of minOutage to maxOutage that end now.
func (h *history) servicesOut(now time.Duration) []string {
	for i, s := range h.spans {
		if now-s.end < minOutage {
			break
		}
		if services := outSince(now, h.spans[i:], h.latest); len(services) > 0 {
			return services
		}
	}
	return nil
}

// failures counts the openings of one service in a period that count as having found no target
// if no target of the service has shown life since: those reset and those forwarded.
type failures struct {
	count int
	first time.Duration // end of the first span with any
}

// outSince evaluates one period, given by its spans and the latest signs of life.
//
// A service counts as out only if an opening at least minOutage ago found no target.
// Otherwise three openings of the last few milliseconds would count after a time without any.
func outSince(now time.Duration, period []span, latest []Openings) []string {
	failed := map[string]failures{}
	total := 0
	for _, s := range period {
		for _, o := range s.openings {
			total += o.Total
			n := o.Unplaced + o.Forwarded
			f := failed[o.Service]
			if f.count == 0 && n > 0 {
				f.first = s.end
			}
			f.count += n
			failed[o.Service] = f
		}
	}
	var out []string
	sum := 0
	for _, o := range latest {
		f := failed[o.Service]
		if f.count >= minOpenings && now-f.first >= minOutage && o.LastAlive < period[0].begin {
			out = append(out, o.Service)
			sum += f.count
		}
	}
	if 2*sum <= total {
		return nil
	}
	return out
}

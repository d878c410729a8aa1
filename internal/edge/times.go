package edge

import (
	"time"

	"github.com/uber-go/tally/v4"

	"rosedale.dev/rosedale/internal/metrics"
)

// timeBuckets range from the handling of a packet on a fast machine to more than the 3 s
// in which changes have to be in force, in steps of about two and a half.
var timeBuckets = tally.DurationBuckets{
	20 * time.Microsecond, 50 * time.Microsecond, 125 * time.Microsecond, 300 * time.Microsecond, 800 * time.Microsecond,
	2 * time.Millisecond, 5 * time.Millisecond, 12 * time.Millisecond, 30 * time.Millisecond, 80 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, 1250 * time.Millisecond, 3 * time.Second, 8 * time.Second,
}

// times holds the latency histograms. It implements direct.Times.
type times struct {
	forward  tally.Histogram // from a packet's arrival in the process to its departure
	opened   tally.Histogram // see direct.Times.Opened
	answered tally.Histogram // see direct.Times.Answered
	detected tally.Histogram // see direct.Times.Detected
	change   tally.Histogram // from the request for a change until it is in force
	age      tally.Histogram // of the replica, at each tick
	lag      tally.Histogram // from a heartbeat that shows a missing change until the replica has it
	read     tally.Histogram // successful reads of the store
}

func newTimes(m *metrics.Collector) *times {
	return &times{
		forward:  m.Histogram("forward_seconds", timeBuckets),
		opened:   m.Histogram("opening_seconds", timeBuckets),
		answered: m.Histogram("answer_seconds", timeBuckets),
		detected: m.Histogram("detection_seconds", timeBuckets),
		change:   m.Histogram("change_seconds", timeBuckets),
		age:      m.Histogram("copy_age_hist_seconds", timeBuckets),
		lag:      m.Histogram("copy_lag_seconds", timeBuckets),
		read:     m.Histogram("store_read_seconds", timeBuckets),
	}
}

// Opened implements direct.Times.
func (t *times) Opened(d time.Duration) { t.opened.RecordDuration(d) }

// Answered implements direct.Times.
func (t *times) Answered(d time.Duration) { t.answered.RecordDuration(d) }

// Detected implements direct.Times.
func (t *times) Detected(d time.Duration) { t.detected.RecordDuration(d) }

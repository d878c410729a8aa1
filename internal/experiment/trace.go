package experiment

import (
	"fmt"
	"time"

	"rosedale.dev/rosedale/internal/standin/caller"
	"rosedale.dev/rosedale/internal/testbed"
)

// maxTraces bounds the number of broken flows whose log lines are kept.
const maxTraces = 5

// traces returns the log lines of all processes about the first flows that broke.
func traces(bed *testbed.Bed, cuts []caller.Cut) []string {
	var out []string
	for _, c := range cuts[:min(len(cuts), maxTraces)] {
		out = append(out, fmt.Sprintf("%s of %s, opened %s, broken %s: %s\n%s", c.What, c.Caller,
			c.Opened.UTC().Format(time.StampMicro), c.At.UTC().Format(time.StampMicro), c.Cause, bed.LogsAbout(c.Caller)))
	}
	return out
}

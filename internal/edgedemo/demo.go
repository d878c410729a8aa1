package edgedemo

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/standin/direct"
)

// Main runs the demo and prints its results. It returns an error if a guarantee was
// broken.
func Main(_ context.Context, args []string) error {
	fs := flag.NewFlagSet("edge-demo", flag.ContinueOnError)
	keep := fs.Bool("verbose", false, "keep the balancers' logs and print their folder")
	if err := fs.Parse(args); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "rosedale-edge-demo")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	if *keep {
		fmt.Println("logs are in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	fmt.Printf("starting a store, %d balancers in %d data centres, targets and callers\n", balancersPerDataCenter*len(dataCenters), len(dataCenters))
	d, err := newDeployment(dir)
	if err != nil {
		return err
	}
	defer d.close()
	return run(d)
}

// run executes all steps and prints the callers' counts in each.
func run(d *deployment) error {
	var runLog direct.RunLog
	for _, t := range d.targets {
		t.Log = &runLog
	}
	c, err := startCallers(d)
	if err != nil {
		return errors.Wrap(err, "demo: callers")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "STEP\tASKED\tLATE\tFAILED\tFLOWS RESET\tP50\tP99") // written by Flush
	for _, s := range steps {
		began := time.Now()
		if err := s.action(d); err != nil {
			c.recordViolation("%s: %v", s.name, err)
		}
		time.Sleep(max(stepLength-time.Since(began), settleTime))
		got := c.takeCounts()
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%v\t%v\n", s.name, got.requests, got.late, got.failed, got.resets, got.percentile(0.5), got.percentile(0.99))
		if s.planned && got.resets > 0 {
			c.recordViolation("%s: %d open flows were reset by planned work", s.name, got.resets)
		}
	}
	c.stopAndWait()
	for body, runs := range runLog.Repeated() {
		c.recordViolation("request %s ran %d times: %v", body, len(runs), runs)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "demo: table")
	}
	if len(c.violations) > 0 {
		return errors.Errorf("broken promises: %v", c.violations)
	}
	fmt.Println("every promise was kept")
	return nil
}

// percentile returns the response time within which the given fraction of answers
// came, rounded to 0.1 ms. It returns 0 if there are none.
func (c counts) percentile(fraction float64) time.Duration {
	if len(c.latencies) == 0 {
		return 0
	}
	slices.Sort(c.latencies)
	return c.latencies[int(fraction*float64(len(c.latencies)-1))].Round(100 * time.Microsecond)
}

// checkRoute returns an error if a balancer does not serve the route that the demo
// adds.
func checkRoute(from *direct.Caller, b *balancer) error {
	fl, err := from.Open(added, b.data())
	if err != nil {
		return errors.Wrapf(err, "demo: the new route at %s", b.addr)
	}
	defer fl.Close()
	_, err = fl.Ask("edit at "+b.addr.String(), answerTimeout)
	return errors.Wrapf(err, "demo: the new route at %s", b.addr)
}

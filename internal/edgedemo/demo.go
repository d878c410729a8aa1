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

// Main runs the demo. It fails if any promise was broken.
func Main(_ context.Context, args []string) error {
	fs := flag.NewFlagSet("edge-demo", flag.ContinueOnError)
	keep := fs.Bool("verbose", false, "keep the balancers' logs and say where they are")
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
	fmt.Printf("starting a store, %d balancers in %d data centres, targets and callers\n", perCentre*len(centres), len(centres))
	d, err := newDeployment(dir)
	if err != nil {
		return err
	}
	defer d.close()
	return run(d)
}

// run plays all steps and prints what callers got in each.
func run(d *deployment) error {
	var ran direct.RunLog
	for _, t := range d.targets {
		t.Log = &ran
	}
	c, err := startCallers(d)
	if err != nil {
		return errors.Wrap(err, "demo: callers")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "STEP\tASKED\tLATE\tFAILED\tFLOWS RESET\tP50\tP99") // written at the end
	for _, s := range steps {
		began := time.Now()
		if err := s.do(d); err != nil {
			c.breach("%s: %v", s.name, err)
		}
		time.Sleep(max(stepLength-time.Since(began), settle))
		got := c.take()
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%v\t%v\n", s.name, got.asked, got.late, got.failed, got.resets, got.share(0.5), got.share(0.99))
		if s.planned && got.resets > 0 {
			c.breach("%s: %d open flows were reset by planned work", s.name, got.resets)
		}
	}
	c.end()
	for body, at := range ran.Repeated() {
		c.breach("request %s ran %d times: %v", body, len(at), at)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "demo: table")
	}
	if len(c.broken) > 0 {
		return errors.Errorf("broken promises: %v", c.broken)
	}
	fmt.Println("every promise was kept")
	return nil
}

// share returns the response time that a part of the answers kept.
func (c counts) share(part float64) time.Duration {
	if len(c.took) == 0 {
		return 0
	}
	slices.Sort(c.took)
	return c.took[int(part*float64(len(c.took)-1))].Round(100 * time.Microsecond)
}

// answers reports whether a balancer serves an address.
func answers(from *direct.Caller, b *balancer) error {
	fl, err := from.Open(added, b.data())
	if err != nil {
		return errors.Wrapf(err, "demo: the new route at %s", b.addr)
	}
	defer fl.Close()
	_, err = fl.Ask("edit at "+b.addr.String(), answerLimit)
	return errors.Wrapf(err, "demo: the new route at %s", b.addr)
}

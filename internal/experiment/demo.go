package experiment

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/testbed"
)

// Demo runs a deployment, replaces every balancer while a target drains and
// the catalogue is edited, and prints the callers' results. It returns an error
// if the outcome violates any promise.
func Demo(_ context.Context, args []string) error {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	deployment := fs.String("deployment", "kavango", "kavango or saryarka")
	length := fs.Duration("duration", 50*time.Second, "length of the callers' run")
	verbose := fs.Bool("verbose", false, "keep the logs")
	streams := fs.Int("streams", 300, "streams")
	if err := fs.Parse(args); err != nil {
		return err
	}
	root := testbed.Root()
	fmt.Printf("starting store, fabric, 7 balancers, targets and callers of %s\n", *deployment)
	bed, err := testbed.New(testbed.Config{Root: root, Examples: filepath.Join(root, "examples", *deployment), Verbose: *verbose})
	if err != nil {
		return err
	}
	defer bed.Stop()
	l := Load{Streams: *streams, SlotUse: 0.5, WorkMS: 60, Gap: 200 * time.Millisecond, Duration: *length}
	o, err := Run(bed, Scenario{Name: "demo", Excluded: []int{0}, Act: RollingReplacement}, l)
	if err != nil {
		return err
	}
	fmt.Print(Table([]*Outcome{o}))
	if v := o.Violations(true); len(v) > 0 {
		return errors.Errorf("broken promises: %v; callers' errors: %v", v, o.Callers.Errors)
	}
	fmt.Println("every promise was kept")
	return nil
}

// RollingReplacement replaces all balancers one by one while a target drains
// and the catalogue is edited.
func RollingReplacement(bed *testbed.Bed, o *Outcome) error {
	svc := bed.Service(bed.Services[0].Name)
	for i, x := range bed.Balancers {
		svc.Limits.Connections++ // an edit with each replacement
		if i == 1 {
			svc.Targets[0].State = catalogue.Draining
		}
		if err := Edit(bed, svc, o); err != nil {
			return err
		}
		if err := bed.Replace(x); err != nil {
			return err
		}
	}
	return nil
}

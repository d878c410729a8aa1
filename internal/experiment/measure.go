package experiment

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/testbed"
)

// Measure runs scenarios, prints their tables and, if a file is named, appends a
// row for each to it.
func Measure(_ context.Context, args []string) error {
	fs := flag.NewFlagSet("measure", flag.ContinueOnError)
	deployment := fs.String("deployment", "kavango", "kavango or saryarka")
	only := fs.String("scenarios", "", "comma-separated names, all when empty")
	policy := fs.String("policy", "bounded", "balance.policy of the balancers")
	file := fs.String("append", "", "Markdown file that gets a row for each scenario")
	label := fs.String("label", "", "label of the rows")
	streams := fs.Int("streams", 300, "streams")
	verbose := fs.Bool("verbose", false, "keep the logs")
	if err := fs.Parse(args); err != nil {
		return err
	}
	var violations []string
	for _, sc := range Scenarios() {
		if *only != "" && !strings.Contains(","+*only+",", ","+sc.Name+",") {
			continue
		}
		o, err := RunScenario(sc, Options{Deployment: *deployment, Policy: *policy, Streams: *streams, Verbose: *verbose})
		if err != nil {
			return errors.Wrap(err, sc.Name)
		}
		fmt.Print(Table([]*Outcome{o}))
		for _, v := range o.Violations(sc.Planned) {
			violations = append(violations, sc.Name+": "+v)
		}
		if *file != "" {
			if err := appendRow(*file, *label, *deployment, o); err != nil {
				return err
			}
		}
	}
	if len(violations) > 0 {
		return errors.Errorf("broken promises: %s", strings.Join(violations, "; "))
	}
	return nil
}

// Options are the settings of a scenario's deployment and load.
type Options struct {
	Deployment string // a folder of examples
	Policy     string // balance.policy of the balancers
	Streams    int    // for each stream address
	Grouped    bool   // each data centre is a group of its own
	Verbose    bool   // keep the logs
}

// RunScenario starts a deployment, runs one scenario on it and stops it.
func RunScenario(sc Scenario, opt Options) (*Outcome, error) {
	root := testbed.Root()
	bed, err := testbed.New(testbed.Config{
		Root:     root,
		Examples: filepath.Join(root, "examples", opt.Deployment),
		Proxy:    true,
		Grouped:  opt.Grouped,
		Verbose:  opt.Verbose,
		Extra:    fmt.Sprintf("[balance]\npolicy = %q", opt.Policy),
	})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	const gap = 200 * time.Millisecond
	l := Load{Streams: opt.Streams, SlotUse: sc.SlotUse, WorkMS: 60, Gap: gap, Duration: sc.Duration, Chatter: sc.Chatter}
	return Run(bed, sc, l)
}

// appendRow appends an outcome to a file as a row of a Markdown table.
func appendRow(file, label, deployment string, o *Outcome) error {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "experiment: row")
	}
	defer func() { _ = f.Close() }()
	c := o.Callers
	var imbalances []string
	for _, k := range keys(o.Imbalance) {
		imbalances = append(imbalances, fmt.Sprintf("%s %.1f", k, o.Imbalance[k]))
	}
	inForce := "-"
	if len(o.InForce) > 0 {
		inForce = fmt.Sprintf("%d/%d/%d", o.Percentile(0.5).Milliseconds(), o.Percentile(0.99).Milliseconds(), o.Percentile(1).Milliseconds())
	}
	_, err = fmt.Fprintf(f, "| %s | %s %s | %d/%d | %d/%d/%d | %d/%d/%d | %s | %s | %s | %s | %.0f | %.1f | %.2f |\n",
		label, deployment, o.Scenario, c.StreamsOpened, c.StreamsBroken, c.Answered, c.Refused, c.Broken+c.TimedOut,
		c.WrongService+c.Crossed, c.RunTwice, c.RefusedButRun, strings.Join(imbalances, "; "),
		o.Reasons("refuse"), o.Reasons("retry"), inForce, o.ControlBS, 100*o.CPU, o.StoreRPS)
	return err
}

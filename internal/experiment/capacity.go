package experiment

import (
	"context"
	"encoding/csv"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/testbed"
)

// capacityColumns is the header of the CSV files that Capacity writes.
var capacityColumns = []string{
	"daemons", "services", "addresses", "endpoints", "control_bytes_per_s", "messages_per_s",
	"cpu_share", "rss_mb", "store_calls_per_s", "in_force_p50_ms", "in_force_max_ms", "start_s", "start_store_calls", "start_bytes",
}

// Capacity measures how the cost of one daemon grows with the number of daemons
// and with the size of the catalogue, and writes CSV files and plots.
func Capacity(_ context.Context, args []string) error {
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	dir := fs.String("dir", "docs/capacity", "folder for rows and plots")
	window := fs.Duration("window", 12*time.Second, "length of each measurement")
	fleets := fs.String("fleets", "7,14,28,56,112", "numbers of daemons")
	catalogues := fs.String("catalogues", "20,200,1300", "numbers of addresses")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if err := os.MkdirAll(*dir, 0o755); err != nil {
		return errors.Wrap(err, "capacity")
	}
	var fleetRows, catalogueRows []capacityRow
	for _, n := range parseNumbers(*fleets) {
		r, err := measureFleet(n, syntheticCatalogue(20), *window)
		if err != nil {
			return err
		}
		fleetRows = append(fleetRows, r)
	}
	for _, n := range parseNumbers(*catalogues) {
		r, err := measureFleet(defaultFleet, syntheticCatalogue(n), *window)
		if err != nil {
			return err
		}
		catalogueRows = append(catalogueRows, r)
	}
	if err := writeRows(filepath.Join(*dir, "fleet.csv"), fleetRows); err != nil {
		return err
	}
	if err := writeRows(filepath.Join(*dir, "catalogue.csv"), catalogueRows); err != nil {
		return err
	}
	if len(fleetRows) == 0 || len(catalogueRows) == 0 {
		return nil
	}
	return plotCapacity(*dir, fleetRows, catalogueRows)
}

const (
	defaultFleet = 7
	// addressesPerService follows from the required size: 1,300 addresses of 650 services.
	addressesPerService = 2
)

// parseNumbers parses a comma-separated list and skips what is not a number.
func parseNumbers(s string) []int {
	var out []int
	for _, f := range strings.Split(s, ",") {
		if n, err := strconv.Atoi(f); err == nil {
			out = append(out, n)
		}
	}
	return out
}

// syntheticCatalogue returns a catalogue with n addresses and, as in the required sizes,
// five endpoints for each address, in three data centres.
func syntheticCatalogue(n int) []*catalogue.Service {
	const endpoints = 10 // for each service
	dcs := []string{"vault-a", "scan-hall", "annex-b"}
	var out []*catalogue.Service
	for i := range n / addressesPerService {
		s := &catalogue.Service{
			Name: fmt.Sprintf("service-%d", i), Owner: "capacity", Number: uint32(1000 + i),
			BrokenFlowWeight: 0.5, Limits: catalogue.Limits{Slots: 2, Connections: 2000},
		}
		for j, class := range []catalogue.Class{catalogue.Stream, catalogue.Request} {
			a := netip.AddrFrom4([4]byte{203, 0, byte(i >> 8), byte(i)})
			s.Addresses = append(s.Addresses, catalogue.Address{Address: netip.AddrPortFrom(a, uint16(80+j)), Class: class})
		}
		for j := range endpoints {
			k := i*endpoints + j
			dc := j % len(dcs)
			s.Targets = append(s.Targets, catalogue.Target{
				Address:    netip.AddrFrom4([4]byte{127, byte(10 + dc), byte(100 + k>>8), byte(k)}),
				DataCenter: dcs[dc], State: catalogue.Active,
			})
		}
		out = append(out, s)
	}
	return out
}

// capacityRow is one measurement of a fleet. Figures are means over its daemons, except the
// store calls, which are sums.
type capacityRow struct {
	Daemons, Services, Addresses, Endpoints int
	// Control bytes per second in and out, control messages per second, share of a core,
	// resident memory in MiB, and store calls per second of all daemons.
	ControlBS, Messages, CPU, RSS, StoreRPS float64
	InForceP50, InForceMax                  time.Duration // from an edit until in force at a daemon
	Start                                   time.Duration // until all daemons are ready
	StartCalls                              int           // store calls of all daemons until ready
	StartBytes                              float64       // control bytes until ready, per daemon
}

func (r capacityRow) fields() []string {
	f := func(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }
	return []string{
		strconv.Itoa(r.Daemons), strconv.Itoa(r.Services), strconv.Itoa(r.Addresses), strconv.Itoa(r.Endpoints),
		f(r.ControlBS), f(r.Messages), f(r.CPU), f(r.RSS), f(r.StoreRPS),
		strconv.FormatInt(r.InForceP50.Milliseconds(), 10), strconv.FormatInt(r.InForceMax.Milliseconds(), 10),
		f(r.Start.Seconds()), strconv.Itoa(r.StartCalls), f(r.StartBytes),
	}
}

// measureFleet starts n daemons with a catalogue and measures them for the window.
func measureFleet(n int, services []*catalogue.Service, window time.Duration) (capacityRow, error) {
	row := capacityRow{Daemons: n, Services: len(services)}
	for _, s := range services {
		row.Addresses += len(s.Addresses)
		row.Endpoints += len(s.Targets)
	}
	bed, err := testbed.New(testbed.Config{
		Root: testbed.Root(), Services: services, BalancerCount: n, Bare: true, Extra: "[log]\nlevel = \"warn\"",
	})
	if err != nil {
		return row, err
	}
	defer bed.Stop()
	if err := row.measureStart(bed); err != nil {
		return row, err
	}
	// Heartbeats carry the membership updates of n starts for about n seconds.
	time.Sleep(max(window/2, time.Duration(n)*time.Second))
	m := newMeter(bed)
	if err := m.begin(); err != nil {
		return row, err
	}
	time.Sleep(window)
	o := &Outcome{Counters: map[string]float64{}}
	if err := m.end(o); err != nil {
		return row, err
	}
	row.ControlBS, row.CPU, row.StoreRPS = o.ControlBS, o.CPU, o.StoreRPS
	row.Messages = o.Counters["link_messages"] / window.Seconds() / float64(n)
	row.RSS = meanRSS(bed)
	for i := range 5 {
		s := *services[i%len(services)]
		s.Limits.Connections += i + 1
		if err := Edit(bed, &s, o); err != nil {
			return row, err
		}
	}
	row.InForceP50, row.InForceMax = o.Percentile(0.5), o.Percentile(1)
	fmt.Printf("%+v\n", row)
	return row, nil
}

// measureStart fills in the cost of starting all daemons at once.
func (r *capacityRow) measureStart(bed *testbed.Bed) error {
	r.Start = bed.ReadyAfter
	calls, err := bed.StoreCalls()
	if err != nil {
		return err
	}
	r.StartCalls = calls["reads"] + calls["watches"]
	for _, x := range bed.Balancers {
		c, err := bed.Metrics(x)
		if err != nil {
			return err
		}
		r.StartBytes += (c["link_bytes_in"] + c["link_bytes_out"]) / float64(len(bed.Balancers))
	}
	return nil
}

// meanRSS returns the daemons' mean resident memory in MiB.
func meanRSS(bed *testbed.Bed) float64 {
	sum := 0.0
	for _, x := range bed.Balancers {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.Process.PID()))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(b), "\n") {
			if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
				kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
				sum += kb / 1024
			}
		}
	}
	return sum / float64(len(bed.Balancers))
}

func writeRows(path string, rows []capacityRow) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "capacity")
	}
	w := csv.NewWriter(f)
	_ = w.Write(capacityColumns)
	for _, r := range rows {
		_ = w.Write(r.fields())
	}
	w.Flush()
	if err := w.Error(); err != nil {
		return errors.Wrap(err, "capacity")
	}
	return errors.Wrap(f.Close(), "capacity")
}

package experiment

import (
	"cmp"
	"slices"
	"syscall"
	"time"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/standin/faultproxy"
	"rosedale.dev/rosedale/internal/standin/platform"
	"rosedale.dev/rosedale/internal/standin/target"
	"rosedale.dev/rosedale/internal/testbed"
)

// Scenario is a load and the events that occur while it runs.
type Scenario struct {
	Name     string
	Planned  bool // consists only of operators' actions, so that no flow may break
	Duration time.Duration
	SlotUse  float64 // share of the slots that requests keep busy
	Chatter  bool    // callers send on their streams too
	// Excluded lists the indexes of the first service's targets that the scenario
	// itself takes out of use. They do not count for the imbalance.
	Excluded []int
	// Act injects the events, after the load has started. It may be nil.
	Act func(*testbed.Bed, *Outcome) error
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	const short, long = 20 * time.Second, 45 * time.Second
	return []Scenario{
		{Name: "steady", Planned: true, Duration: short, SlotUse: 0.7, Act: editOnce},
		{Name: "rolling", Planned: true, Duration: long, SlotUse: 0.5, Excluded: []int{0}, Act: RollingReplacement},
		{Name: "killed", Duration: short, SlotUse: 0.5, Excluded: []int{0}, Act: killed},
		{Name: "paused", Duration: short, SlotUse: 0.5, Act: paused},
		{Name: "store-outage", Planned: true, Duration: short, SlotUse: 0.5, Act: storeOutage},
		{Name: "centre-cut", Duration: short, SlotUse: 0.3, Act: centreCut},
		{Name: "shedding", Planned: true, Duration: short, SlotUse: 0.5, Excluded: []int{0, 1, 2}, Act: shedding},
		{Name: "dead-target", Duration: short, SlotUse: 0.4, Excluded: []int{1}, Act: deadTarget},
		{Name: "silent", Duration: short, SlotUse: 0.4, Chatter: true, Act: silent},
		{Name: "lossy", Planned: true, Duration: short, SlotUse: 0.4, Act: lossy},
		{Name: "overload", Planned: true, Duration: short, SlotUse: 1.4},
		{Name: "three-faults", Duration: short, SlotUse: 0.4, Act: threeFaults},
	}
}

func editOnce(b *testbed.Bed, o *Outcome) error {
	return Edit(b, b.Service(b.Services[0].Name), o)
}

// SilentStreams is the number of streams that the scenario "silent" makes silent.
const SilentStreams = 5

// silent makes SilentStreams streams silent at the target that has the most, while
// its other streams continue.
func silent(b *testbed.Bed, _ *Outcome) error {
	stats, err := b.Stats()
	if err != nil {
		return err
	}
	most := slices.MaxFunc(stats, func(x, y target.Stats) int { return cmp.Compare(x.Streams, y.Streams) })
	return b.LoseStreams(most.Target, SilentStreams)
}

// ScenarioByName returns the named scenario with duration d. It panics if there is none.
func ScenarioByName(name string, d time.Duration) Scenario {
	for _, s := range Scenarios() {
		if s.Name == name {
			s.Duration = d
			return s
		}
	}
	panic("experiment: no scenario " + name)
}

// killed kills one balancer while a target drains.
func killed(b *testbed.Bed, o *Outcome) error {
	svc := b.Service(b.Services[0].Name)
	svc.Targets[0].State = catalogue.Draining
	if err := Edit(b, svc, o); err != nil {
		return err
	}
	b.Balancers[3].Process.Kill()
	return nil
}

// paused suspends one balancer for 5 seconds, longer than its peers wait before they
// mark it dead.
func paused(b *testbed.Bed, _ *Outcome) error {
	b.Balancers[2].Process.Signal(syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	b.Balancers[2].Process.Signal(syscall.SIGCONT)
	return nil
}

// storeOutage makes the store unavailable, replaces a balancer meanwhile, and
// edits the catalogue as soon as the store is available again.
func storeOutage(b *testbed.Bed, o *Outcome) error {
	if err := b.SetStore(platform.Faults{Down: true}); err != nil {
		return err
	}
	if err := b.Replace(b.Balancers[1]); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if err := b.SetStore(platform.Faults{}); err != nil {
		return err
	}
	svc := b.Service(b.Services[0].Name)
	svc.Limits.Connections++
	return Edit(b, svc, o)
}

// centreCut isolates one data centre for 6 seconds.
func centreCut(b *testbed.Bed, _ *Outcome) error {
	dcs := b.DataCenters()
	if err := b.Isolate(dcs[len(dcs)-1]); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	return b.Isolate()
}

// shedding makes three targets refuse every opening for 6 seconds.
func shedding(b *testbed.Bed, _ *Outcome) error {
	svc := b.Services[0]
	for _, t := range svc.Targets[:3] {
		if err := b.SetTarget(t.Address.String(), target.Behaviour{Shed: true, Lie: true}); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	for _, t := range svc.Targets[:3] {
		if err := b.SetTarget(t.Address.String(), target.Behaviour{}); err != nil {
			return err
		}
	}
	return nil
}

// deadTarget makes a target drop every packet while its health endpoint reports
// that it is healthy.
func deadTarget(b *testbed.Bed, _ *Outcome) error {
	return b.SetTarget(b.Services[0].Targets[1].Address.String(), target.Behaviour{Paused: true, Lie: true})
}

// threeFaults kills one balancer and pauses another while the store is down and
// the network between balancers loses and reorders packets.
func threeFaults(b *testbed.Bed, o *Outcome) error {
	if err := b.SetStore(platform.Faults{Down: true}); err != nil {
		return err
	}
	if err := b.SetProxy(faultproxy.Faults{Loss: 0.01, Reorder: 0.05, ReorderDelay: 20}); err != nil {
		return err
	}
	b.Balancers[3].Process.Kill()
	time.Sleep(time.Second)
	if err := paused(b, o); err != nil {
		return err
	}
	if err := b.SetStore(platform.Faults{}); err != nil {
		return err
	}
	return editOnce(b, o)
}

// lossy makes the network between balancers lose, duplicate, delay and reorder
// packets and the fabric lose and duplicate them, and edits the catalogue.
func lossy(b *testbed.Bed, o *Outcome) error {
	f := faultproxy.Faults{Loss: 0.02, Dup: 0.02, Reorder: 0.05, ReorderDelay: 20, Delay: 1}
	if err := b.SetProxy(f); err != nil {
		return err
	}
	const lossPerMillion, dupPerMillion = 2000, 5000
	if err := b.SetFabric(nil, lossPerMillion, dupPerMillion); err != nil {
		return err
	}
	svc := b.Service(b.Services[0].Name)
	svc.Limits.Connections++
	return Edit(b, svc, o)
}

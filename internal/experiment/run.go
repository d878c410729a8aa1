package experiment

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/standin/target"
	"rosedale.dev/rosedale/internal/testbed"
)

// Load describes the callers' work for one deployment.
type Load struct {
	Streams  int           // for each stream address
	SlotUse  float64       // share of the slots that requests keep busy
	WorkMS   int           // milliseconds that a target works on a request
	Gap      time.Duration // between two frames of a stream
	Duration time.Duration
	Chatter  bool // callers send on their streams too
}

// Specs returns the -streams and -requests flags of the caller stand-in. The
// request rate keeps SlotUse of a service's slots busy, divided among its addresses.
func (l Load) Specs(services []*catalogue.Service) (streams, requests string) {
	var ss, rs []string
	for _, s := range services {
		slots := float64(len(s.Targets) * s.Limits.Slots)
		n := 0
		for _, a := range s.Addresses {
			if a.Class.UsesSlots() {
				n++
			}
		}
		for _, a := range s.Addresses {
			if !a.Class.UsesSlots() {
				ss = append(ss, fmt.Sprintf("%s=%s=%d", s.Name, a.Address, l.Streams))
				continue
			}
			rate := l.SlotUse * slots / float64(n) / (float64(l.WorkMS) / 1000)
			rs = append(rs, fmt.Sprintf("%s=%s=%.2f=%d", s.Name, a.Address, rate, l.WorkMS))
		}
	}
	return strings.Join(ss, ","), strings.Join(rs, ",")
}

// Run starts the load, performs the scenario's act while it runs, and returns the
// measured outcome.
func Run(bed *testbed.Bed, sc Scenario, l Load) (*Outcome, error) {
	o := &Outcome{Scenario: sc.Name, Counters: map[string]float64{}, Imbalance: map[string]float64{}, excluded: map[string]bool{}}
	for _, i := range sc.Excluded {
		o.excluded[bed.Services[0].Targets[i].Address.String()] = true
	}
	m := newMeter(bed)
	if err := m.begin(); err != nil {
		return nil, err
	}
	statsBefore, err := bed.Stats()
	if err != nil {
		return nil, err
	}
	streams, requests := l.Specs(bed.Services)
	began := time.Now()
	load, err := bed.StartLoad(streams, requests, l.Duration, l.Gap, l.Chatter)
	if err != nil {
		return nil, err
	}
	samples := newSampler(bed, o.excluded)
	time.Sleep(min(l.Duration/4, 4*time.Second))
	go samples.run(load.End)
	if sc.Act != nil {
		if err := sc.Act(bed, o); err != nil {
			return nil, err
		}
	}
	o.Callers, err = load.Result()
	if err != nil {
		return nil, err
	}
	o.Took = time.Since(began)
	o.Traces = traces(bed, o.Callers.Cut)
	samples.wait()
	statsAfter, err := bed.Stats()
	if err != nil {
		return nil, err
	}
	samples.report(o)
	addTargetStats(o, statsBefore, statsAfter)
	return o, m.end(o)
}

// addTargetStats adds to o what the targets counted during the run.
func addTargetStats(o *Outcome, before, after []target.Stats) {
	byService := map[string][]float64{}
	for i, a := range after {
		b := before[i]
		o.MaxSlots = max(o.MaxSlots, a.MaxSlots)
		o.Shed += a.Shed - b.Shed
		if o.excluded[a.Target] {
			continue
		}
		byService[a.Service] = append(byService[a.Service], float64(a.Executed-b.Executed))
	}
	for s, loads := range byService {
		o.Imbalance[s+" requests"] = Imbalance(loads)
	}
}

// sampler samples the targets' streams and slots while the load runs.
type sampler struct {
	bed      *testbed.Bed
	done     chan struct{}
	sum      map[string]float64            // of the samples of the streams' imbalance, by service
	count    int                           // of samples
	slots    map[string]map[string]float64 // sum of the samples of slots in use, by service and target
	excluded map[string]bool               // targets
}

func newSampler(b *testbed.Bed, excluded map[string]bool) *sampler {
	return &sampler{bed: b, excluded: excluded, done: make(chan struct{}), sum: map[string]float64{}, slots: map[string]map[string]float64{}}
}

const (
	sampleEvery = 200 * time.Millisecond // between two samples
	sampleTail  = 500 * time.Millisecond // before the end of the load, without samples
)

func (s *sampler) run(end time.Time) {
	defer close(s.done)
	for time.Until(end) > sampleTail {
		if st, err := s.bed.Stats(); err == nil {
			s.add(st)
		}
		time.Sleep(sampleEvery)
	}
}

func (s *sampler) add(st []target.Stats) {
	streams := map[string][]float64{}
	for _, x := range st {
		if s.excluded[x.Target] {
			continue
		}
		streams[x.Service] = append(streams[x.Service], float64(x.Streams))
		if s.slots[x.Service] == nil {
			s.slots[x.Service] = map[string]float64{}
		}
		s.slots[x.Service][x.Target] += float64(x.Slots)
	}
	s.count++
	for svc, l := range streams {
		s.sum[svc] += Imbalance(l)
	}
}

func (s *sampler) wait() { <-s.done }

func (s *sampler) report(o *Outcome) {
	for svc, total := range s.sum {
		if total > 0 {
			o.Imbalance[svc+" streams"] = total / float64(s.count)
		}
		var loads []float64
		for _, n := range s.slots[svc] {
			loads = append(loads, n)
		}
		o.Imbalance[svc+" slots"] = Imbalance(loads)
	}
}

// meter measures the increase of the balancers' counters and processor time, and of the
// store's calls.
type meter struct {
	bed              *testbed.Bed
	began            time.Time
	countersBefore   map[string]map[string]float64
	pidBefore        map[string]int
	cpuBefore        map[string]float64
	storeCallsBefore map[string]int
}

func newMeter(b *testbed.Bed) *meter {
	return &meter{bed: b, countersBefore: map[string]map[string]float64{}, pidBefore: map[string]int{}, cpuBefore: map[string]float64{}}
}

func (m *meter) begin() error {
	m.began = time.Now()
	for _, x := range m.bed.Balancers {
		c, err := m.bed.Metrics(x)
		if err != nil {
			return err
		}
		m.countersBefore[x.Name], m.pidBefore[x.Name] = c, x.Process.PID()
		m.cpuBefore[x.Name], _ = processorTime(x.Process.PID())
	}
	var err error
	m.storeCallsBefore, err = m.bed.StoreCalls()
	return err
}

// end adds the increases since begin to o. Balancers that were replaced count from
// the start of their process.
func (m *meter) end(o *Outcome) error {
	secs := time.Since(m.began).Seconds()
	vms, control, cpu := 0.0, 0.0, 0.0
	for _, x := range m.bed.Balancers {
		if !x.Process.Running() {
			continue
		}
		c, err := m.bed.Metrics(x)
		if err != nil {
			continue // paused or just started
		}
		base, baseCPU := m.countersBefore[x.Name], m.cpuBefore[x.Name]
		span := secs
		if m.pidBefore[x.Name] != x.Process.PID() {
			base, baseCPU = map[string]float64{}, 0
			span = max(time.Since(x.Process.Started).Seconds(), 1)
		}
		for k, v := range c {
			o.Counters[k] += v - base[k]
		}
		now, _ := processorTime(x.Process.PID())
		vms++
		control += (c["link_bytes_in"] + c["link_bytes_out"] - base["link_bytes_in"] - base["link_bytes_out"]) / span
		cpu += (now - baseCPU) / span
	}
	o.ControlBS, o.CPU = control/max(vms, 1), cpu/max(vms, 1)
	calls, err := m.bed.StoreCalls()
	if err != nil {
		return err
	}
	for k, v := range calls {
		o.StoreRPS += float64(v-m.storeCallsBefore[k]) / secs
	}
	return nil
}

// clockTick is the unit of processor time in /proc, in seconds. It is a hundredth
// of a second on every Linux that Go supports.
const clockTick = 0.01

// processorTime returns the seconds of processor time that a process used.
func processorTime(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "experiment: processor time")
	}
	s := string(b)
	f := strings.Fields(s[strings.LastIndexByte(s, ')')+1:])
	const utime, stime = 11, 12
	u, err1 := strconv.ParseFloat(f[utime], 64)
	k, err2 := strconv.ParseFloat(f[stime], 64)
	if err1 != nil || err2 != nil {
		return 0, errors.New("experiment: invalid utime or stime in /proc/PID/stat")
	}
	return (u + k) * clockTick, nil
}

package replica

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Parameters of the simulated start, for VMs with a sixteenth of a core.
const (
	storeLink    = 1e9   // bit/s
	vmLink       = 200e6 // bit/s, of a source
	listBytes    = 165   // bytes of a listing for each balancer or target
	copyBytes    = 15    // bytes of a packed copy for each balancer or target
	storeDelay   = 12 * time.Millisecond
	handlingTime = 20 * time.Millisecond  // processing of a copy by a small VM
	startSpread  = 300 * time.Millisecond // all VMs start within this time
	dialLimit    = 250 * time.Millisecond // timeout for connecting to a source
	waitLimit    = 300 * time.Millisecond // how long a source without a copy delays a request
	dataCenters  = 5
	targetsPerVM = 2 // number of targets for each VM
)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000)
}

// startSimulation simulates the start of a fleet. The first three VMs of each data centre
// are its bootstrap sources. They have fast links and processors.
type startSimulation struct {
	now            time.Duration
	queue          queue
	vms            []*vm
	store          []*transfer // listings in progress
	listings       int
	withoutSources bool // the store returns no sources
	size           int
}

type vm struct {
	id             int
	powered, start time.Duration // when the VM gets power and when its balancer starts
	copiedAt       time.Duration // 0 until there is a copy
	link           link
	first          *FirstCopy
	waiting        []func() // answers to requests that wait for this VM's copy
	listing        bool
}

// link transmits one message at a time.
type link struct {
	bits float64       // bit/s
	free time.Duration // when the last message will have been sent
}

func (l *link) send(now time.Duration, bytes int) time.Duration {
	l.free = max(l.free, now) + time.Duration(float64(bytes)*8/l.bits*float64(time.Second))
	return l.free
}

func newStartSimulation(n int, seed uint64) *startSimulation {
	w := &startSimulation{size: n}
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range n {
		start := time.Duration(rng.Float64() * float64(startSpread))
		v := &vm{id: i, start: start, powered: start - 100*time.Millisecond, link: link{bits: vmLink}, first: NewFirstCopy(addr(i), rng.Float64())}
		if i < dataCenters*3 {
			v.start /= 4 // a fast VM starts sooner
		}
		w.vms = append(w.vms, v)
	}
	return w
}

// bytes returns the size of the data of all balancers and targets, with the given number
// of bytes for each.
func (w *startSimulation) bytes(each int) int { return w.size * (1 + targetsPerVM) * each }

func (w *startSimulation) sources(v *vm) []netip.AddrPort {
	if w.withoutSources {
		return nil
	}
	c := v.id % dataCenters
	return []netip.AddrPort{addr(c), addr(c + dataCenters), addr(c + 2*dataCenters)}
}

func (w *startSimulation) run() {
	for _, v := range w.vms {
		w.at(v.start, func() {
			w.after(storeDelay, func() {
				v.first.SetSources(w.now, w.sources(v), w.size/dataCenters)
				w.askSources(v)
				w.listIfDue(v)
			})
		})
	}
	for len(w.queue) > 0 && w.queue[0].at < 10*time.Second {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

func (w *startSimulation) listIfDue(v *vm) {
	if v.copiedAt > 0 || v.listing {
		return
	}
	if !v.first.MayList(w.now) {
		w.after(100*time.Millisecond, func() { w.listIfDue(v) })
		return
	}
	v.listing = true
	w.listings++
	if len(w.store) == 0 {
		w.after(transferStep, w.advanceListings)
	}
	w.store = append(w.store, &transfer{bits: float64(w.bytes(listBytes) * 8), done: func() { w.copyReceived(v) }})
}

// transfer is a listing that shares the store's link with the others.
type transfer struct {
	bits float64 // remaining bits
	done func()
}

// transferStep is the simulation step of the listings.
const transferStep = time.Millisecond

// advanceListings advances all listings by one step.
func (w *startSimulation) advanceListings() {
	each := storeLink * transferStep.Seconds() / float64(len(w.store))
	var left []*transfer
	for _, x := range w.store {
		if x.bits -= each; x.bits > 0 {
			left = append(left, x)
			continue
		}
		w.after(storeDelay, x.done)
	}
	if w.store = left; len(left) > 0 {
		w.after(transferStep, w.advanceListings)
	}
}

func (w *startSimulation) askSources(v *vm) {
	if v.copiedAt > 0 || !v.first.HasSources() {
		return
	}
	w.askNextSource(v)
	w.after(v.first.Pause(), func() { w.askSources(v) })
}

func (w *startSimulation) askNextSource(v *vm) {
	a, ok := v.first.NextSource()
	if !ok {
		return
	}
	i := slices.IndexFunc(w.vms, func(x *vm) bool { return addr(x.id) == a })
	src := w.vms[i]
	failed := func() {
		if v.first.Failed() && v.copiedAt == 0 {
			w.askNextSource(v)
		}
	}
	switch {
	case w.now < src.powered:
		w.after(dialLimit, failed)
	case w.now < src.start:
		w.after(time.Millisecond, failed)
	case src.copiedAt == 0:
		answered := false
		src.waiting = append(src.waiting, func() { answered = true; w.copyTo(v, src) })
		w.after(waitLimit, func() {
			if !answered {
				failed()
			}
		})
	default:
		w.copyTo(v, src)
	}
}

func (w *startSimulation) copyTo(v, src *vm) {
	w.at(src.link.send(w.now, w.bytes(copyBytes))+handlingTime, func() { w.copyReceived(v) })
}

func (w *startSimulation) copyReceived(v *vm) {
	if v.copiedAt > 0 {
		return
	}
	v.copiedAt = w.now
	for _, answer := range v.waiting {
		answer()
	}
	v.waiting = nil
}

// delay returns the time from its start within which the given share of the balancers
// have a copy.
func (w *startSimulation) delay(share float64) time.Duration { return copyDelay(w.vms, share) }

func copyDelay(vms []*vm, share float64) time.Duration {
	var took []time.Duration
	for _, v := range vms {
		if v.copiedAt == 0 {
			took = append(took, time.Hour)
			continue
		}
		took = append(took, v.copiedAt-v.start)
	}
	slices.Sort(took)
	return took[int(share*float64(len(took)-1))]
}

type event struct {
	at time.Duration
	do func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].at < q[b].at }
func (q queue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (w *startSimulation) at(when time.Duration, do func()) { heap.Push(&w.queue, event{when, do}) }

func (w *startSimulation) after(d time.Duration, do func()) { w.at(w.now+d, do) }

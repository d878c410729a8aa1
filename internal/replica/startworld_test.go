package replica

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// What a start of all balancers meets, as measured on VMs with a sixteenth of a core.
const (
	storeLink  = 1e9   // bits a second
	vmLink     = 200e6 // of a source
	listBytes  = 165   // of the store's listing for each balancer or target
	copyBytes  = 15    // of a packed copy, for the same
	storeDelay = 12 * time.Millisecond
	handling   = 20 * time.Millisecond // by a small VM
	startsIn   = 300 * time.Millisecond
	dialLimit  = 250 * time.Millisecond
	holdLimit  = 300 * time.Millisecond
	centres    = 5
	perVM      = 2 // targets
)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000)
}

// world plays the start of a fleet. The first three VMs of each data centre are its
// sources, and have wide links and processors.
type world struct {
	now      time.Duration
	queue    queue
	vms      []*vm
	store    []*transfer // listings under way
	listings int
	unguided bool // the store tells no sources
	size     int
}

type vm struct {
	id             int
	powered, start time.Duration
	copied         time.Duration // 0 until there is a copy
	link           link
	first          *FirstCopy
	waiting        []func() // questions that are held until there is a copy
	listing        bool
}

// link sends one thing after the other.
type link struct {
	bits float64
	free time.Duration
}

func (l *link) send(now time.Duration, bytes int) time.Duration {
	l.free = max(l.free, now) + time.Duration(float64(bytes)*8/l.bits*float64(time.Second))
	return l.free
}

func newWorld(n int, seed uint64) *world {
	w := &world{size: n}
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range n {
		start := time.Duration(rng.Float64() * float64(startsIn))
		v := &vm{id: i, start: start, powered: start - 100*time.Millisecond, link: link{bits: vmLink}, first: NewFirstCopy(addr(i), rng.Float64())}
		if i < centres*3 {
			v.start /= 4 // a wide VM is up sooner
		}
		w.vms = append(w.vms, v)
	}
	return w
}

func (w *world) bytes(each int) int { return w.size * (1 + perVM) * each }

func (w *world) sources(v *vm) []netip.AddrPort {
	if w.unguided {
		return nil
	}
	c := v.id % centres
	return []netip.AddrPort{addr(c), addr(c + centres), addr(c + 2*centres)}
}

func (w *world) play() {
	for _, v := range w.vms {
		w.at(v.start, func() {
			w.after(storeDelay, func() {
				v.first.SetSources(w.now, w.sources(v), w.size/centres)
				w.ask(v)
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

func (w *world) listIfDue(v *vm) {
	if v.copied > 0 || v.listing {
		return
	}
	if !v.first.MayList(w.now) {
		w.after(100*time.Millisecond, func() { w.listIfDue(v) })
		return
	}
	v.listing = true
	w.listings++
	if len(w.store) == 0 {
		w.after(pumpStep, w.pump)
	}
	w.store = append(w.store, &transfer{bits: float64(w.bytes(listBytes) * 8), done: func() { w.has(v) }})
}

// transfer is a listing that shares the store's link with the others.
type transfer struct {
	bits float64 // left
	done func()
}

const pumpStep = time.Millisecond

// pump moves the listings on by one step.
func (w *world) pump() {
	each := storeLink * pumpStep.Seconds() / float64(len(w.store))
	var left []*transfer
	for _, x := range w.store {
		if x.bits -= each; x.bits > 0 {
			left = append(left, x)
			continue
		}
		w.after(storeDelay, x.done)
	}
	if w.store = left; len(left) > 0 {
		w.after(pumpStep, w.pump)
	}
}

func (w *world) ask(v *vm) {
	if v.copied > 0 || !v.first.HasSources() {
		return
	}
	w.askOne(v)
	w.after(v.first.Pause(), func() { w.ask(v) })
}

func (w *world) askOne(v *vm) {
	a, ok := v.first.NextSource()
	if !ok {
		return
	}
	i := slices.IndexFunc(w.vms, func(x *vm) bool { return addr(x.id) == a })
	src := w.vms[i]
	failed := func() {
		if v.first.Failed() && v.copied == 0 {
			w.askOne(v)
		}
	}
	switch {
	case w.now < src.powered:
		w.after(dialLimit, failed)
	case w.now < src.start:
		w.after(time.Millisecond, failed)
	case src.copied == 0:
		answered := false
		src.waiting = append(src.waiting, func() { answered = true; w.copyTo(v, src) })
		w.after(holdLimit, func() {
			if !answered {
				failed()
			}
		})
	default:
		w.copyTo(v, src)
	}
}

func (w *world) copyTo(v, src *vm) {
	w.at(src.link.send(w.now, w.bytes(copyBytes))+handling, func() { w.has(v) })
}

func (w *world) has(v *vm) {
	if v.copied > 0 {
		return
	}
	v.copied = w.now
	for _, answer := range v.waiting {
		answer()
	}
	v.waiting = nil
}

// late returns how long after their start a share of the balancers have a copy.
func (w *world) late(share float64) time.Duration { return lateness(w.vms, share) }

func lateness(vms []*vm, share float64) time.Duration {
	var took []time.Duration
	for _, v := range vms {
		if v.copied == 0 {
			took = append(took, time.Hour)
			continue
		}
		took = append(took, v.copied-v.start)
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

func (w *world) at(when time.Duration, do func()) { heap.Push(&w.queue, event{when, do}) }

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

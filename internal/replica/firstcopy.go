package replica

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// sourcePatience is how long a balancer that starts leaves the store alone while
	// the sources of its data centre have not answered. After a loss of all balancers
	// sources on small VMs take as long to start and to list the store.
	sourcePatience = 300 * time.Millisecond
	// listingTime is what a listing takes of the store's link: 0.2 MB of 1 Gbit/s.
	// Balancers whose sources are all gone list the store one after the other.
	listingTime = 1500 * time.Microsecond
	// sourcePause is how long a source may take before the next one is asked beside it:
	// what an answer takes on a VM with a sixteenth of a core. One without power
	// never answers, and the kernel says so after seconds.
	//
	// Gain: with one of three sources without power, the last of 83 balancers got its
	// copy 0.19 s after its start; asked one after the other, a third of them 0.33 s to
	// 0.47 s after it.
	sourcePause = 40 * time.Millisecond
	// maxSourcePause bounds the pause, which doubles with each round of questions: 300
	// balancers that ask three small VMs in vain must not keep these from starting.
	maxSourcePause = 500 * time.Millisecond
	// owedAnswers is how many questions to a source may wait for an answer. With one, a
	// balancer that asks while no source has power yet waits until all three questions
	// time out, though the sources came up meanwhile.
	owedAnswers = 2
	// bootstrapPatience and bootstrapSpread say when a balancer of a new fleet lists the
	// store if the seeds have no copy. Operators let traffic in some ten seconds after.
	bootstrapPatience = 1500 * time.Millisecond
	bootstrapSpread   = 1500 * time.Millisecond
	// bootstrapSettle is how long after its start a balancer of a new fleet knows too few
	// others to tell its place among them: they register within the first second.
	bootstrapSettle = 3 * time.Second
)

// FirstCopy decides from where a balancer that has just started takes its first copy
// of the store: the sources of a data centre list the store, the others take a packed
// copy from these.
//
// Failure: all balancers of a large fleet start at once, as after a loss of power, and
// all list the store. It shows as listings that share the store's link, so that each
// takes as long as all together (353 listings of 1,074 items: 0.5 s of 1 Gbit/s) while
// callers wait. With few listings the link is free for these, and a packed copy is a
// tenth as long (TestAllStartAtOnce). A balancer that finds no source to answer lists the
// store as well, later than the sources, and spread over the time that all of them take.
//
// Gain: nine tenths of 295 balancers, most with a sixteenth of a core, were ready 0.17
// instead of 0.55 s after their start.
type FirstCopy struct {
	self    netip.AddrPort
	lot     float64
	sources []netip.AddrPort
	turn    int // questions so far
	pending int // those without an answer
	told    bool
	settled time.Duration // when this balancer's place among the others is known
	listAt  time.Duration // when this balancer may list the store itself
}

// NewFirstCopy returns the decisions of the balancer at self. lot, below 1, is drawn by
// lot for each start.
func NewFirstCopy(self netip.AddrPort, lot float64) *FirstCopy {
	return &FirstCopy{self: self, lot: lot}
}

// SetSources takes the sources of the own data centre and its size. Without any, or if the
// store did not tell them, the balancer lists the store at once.
func (f *FirstCopy) SetSources(now time.Duration, sources []netip.AddrPort, size int) {
	f.wait(now, sources, sourcePatience+time.Duration(f.lot*float64(size))*listingTime)
}

// Bootstrap takes the place of Told in a fleet that starts for the first time: no
// sources are known yet, and nobody waits. The seeds list the store for the others.
//
// Gain: the first start of 295 balancers and the 34 s after it took 907 instead of 1,410
// calls of the store.
func (f *FirstCopy) Bootstrap(now time.Duration, seeds []netip.AddrPort) {
	f.settled = now + bootstrapSettle
	f.wait(now, seeds, bootstrapPatience+time.Duration(f.lot*float64(bootstrapSpread)))
}

// wait has the sources asked first, and the store listed after a while.
func (f *FirstCopy) wait(now time.Duration, sources []netip.AddrPort, patience time.Duration) {
	f.told = true
	f.listAt = now
	if len(sources) == 0 || slices.Contains(sources, f.self) {
		return
	}
	first := int(f.lot * float64(len(sources)))
	f.sources = slices.Concat(sources[first:], sources[:first])
	f.listAt += patience
}

// Place returns this balancer's place among those that read the store, as its copy has it.
//
// Failure: the balancers of a new fleet know nobody when they start, and each takes itself
// for the first. It shows as several reads by each of them. Until they know one another
// the seeds read for all.
func (f *FirstCopy) Place(now time.Duration, p Place) Place {
	if now < f.settled && f.HasSources() {
		return LastPlace
	}
	return p
}

// HasSources reports whether there are sources to ask.
func (f *FirstCopy) HasSources() bool { return len(f.sources) > 0 }

// MayList reports whether this balancer may list the store.
func (f *FirstCopy) MayList(now time.Duration) bool { return f.told && now >= f.listAt }

// NextSource returns the source to ask next, if not too many answers are owed.
func (f *FirstCopy) NextSource() (netip.AddrPort, bool) {
	if f.pending >= owedAnswers*len(f.sources) {
		return netip.AddrPort{}, false
	}
	a := f.sources[f.turn%len(f.sources)]
	f.turn++
	f.pending++
	return a, true
}

// Pause returns when to ask the next source after the last one, if no answer comes.
func (f *FirstCopy) Pause() time.Duration {
	round := max(f.turn-1, 0) / max(len(f.sources), 1)
	return min(sourcePause<<min(round, 4), maxSourcePause)
}

// Failed notes that a source had no copy or did not answer, and reports whether to ask
// the next one at once: those that have not been asked yet.
func (f *FirstCopy) Failed() bool {
	f.pending--
	return f.turn < len(f.sources)
}

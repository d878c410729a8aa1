package replica

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// listDelay is how long a starting balancer at least waits for the bootstrap sources of
	// its data centre before it lists the store itself. After all balancers were lost,
	// sources on small VMs take that long to start and to list the store.
	listDelay = 300 * time.Millisecond
	// listingTime is how long one listing occupies the store's link: 0.2 MB at 1 Gbit/s.
	// Balancers that have lost all their sources list the store one after the other.
	listingTime = 1500 * time.Microsecond
	// hedgeDelay is how long to wait for a source before the next one is asked as well.
	// An answer takes that long on a VM with a sixteenth of a core. A source without
	// power never answers, and the kernel reports that only after seconds.
	//
	// With one of three sources without power, the last of 83 balancers got its copy 0.19
	// s after its start. When sources were asked one after the other, a third of the
	// balancers got it only after 0.33 s to 0.47 s.
	hedgeDelay = 40 * time.Millisecond
	// maxHedgeDelay bounds the delay, which doubles with each round of requests: 300
	// balancers that ask three small VMs in vain must not slow down the start of these.
	maxHedgeDelay = 500 * time.Millisecond
	// maxPendingPerSource, times the number of sources, bounds the unanswered requests to
	// all of them. With one per source, a balancer that has asked all three before any has
	// power asks again only when a request times out, even if the sources have come up in
	// the meantime.
	maxPendingPerSource = 2
	// bootstrapListDelay and bootstrapListSpread determine when a balancer of a new fleet
	// lists the store if the seeds have no copy. Operators admit traffic about ten
	// seconds later.
	bootstrapListDelay  = 1500 * time.Millisecond
	bootstrapListSpread = 1500 * time.Millisecond
	// bootstrapRankDelay is how long after its start a balancer of a new fleet knows too
	// few others to determine its rank among them. Balancers register within the first
	// second.
	bootstrapRankDelay = 3 * time.Second
)

// FirstCopy decides where a starting balancer gets its first copy of the store. The
// bootstrap sources of a data centre list the store, the other balancers fetch a packed
// copy from them.
//
// Guards against all balancers of a large fleet listing the store when they start at
// once, for example after a power failure. The listings share the store's link, so that
// each takes as long as all together (353 listings of 1,074 items: 0.5 s at 1 Gbit/s)
// while callers wait. A packed copy has a tenth of the size of a listing
// (TestAllStartAtOnce). A balancer that gets no answer from any source also lists the
// store, but later than the sources, and spread over the time that all such listings
// take.
//
// With sources, 90% of 295 balancers, most with a sixteenth of a core, were ready 0.17 s
// after their start instead of 0.55 s.
type FirstCopy struct {
	self        netip.AddrPort
	jitter      float64
	sources     []netip.AddrPort
	requests    int           // requests so far
	pending     int           // unanswered requests
	initialized bool          // SetSources or Bootstrap was called
	rankKnownAt time.Duration // when this balancer knows its rank
	listAt      time.Duration // from when on this balancer may list the store
}

// NewFirstCopy returns the state of a balancer that starts at the address self. jitter is
// a random number in [0, 1), new at each start.
func NewFirstCopy(self netip.AddrPort, jitter float64) *FirstCopy {
	return &FirstCopy{self: self, jitter: jitter}
}

// SetSources sets the bootstrap sources of the balancer's data centre and the number of
// balancers there. Without any sources, or if the store did not return them, the balancer
// lists the store at once.
func (f *FirstCopy) SetSources(now time.Duration, sources []netip.AddrPort, size int) {
	f.start(now, sources, listDelay+time.Duration(f.jitter*float64(size))*listingTime)
}

// Bootstrap is called instead of SetSources when a fleet starts for the first time: no
// sources are known yet and no caller waits. The seeds, which are the balancers named in
// the settings, list the store for the others.
//
// With this, the first start of 295 balancers and the 34 s after it took 907 store calls
// instead of 1,410.
func (f *FirstCopy) Bootstrap(now time.Duration, seeds []netip.AddrPort) {
	f.rankKnownAt = now + bootstrapRankDelay
	f.start(now, seeds, bootstrapListDelay+time.Duration(f.jitter*float64(bootstrapListSpread)))
}

// start sets the sources to ask and, unless this balancer is a source itself, the delay
// after which it lists the store.
func (f *FirstCopy) start(now time.Duration, sources []netip.AddrPort, delay time.Duration) {
	f.initialized = true
	f.listAt = now
	if len(sources) == 0 || slices.Contains(sources, f.self) {
		return
	}
	first := int(f.jitter * float64(len(sources)))
	f.sources = slices.Concat(sources[first:], sources[:first])
	f.listAt += delay
}

// Place returns this balancer's place in the order of readers, given its place according
// to its replica.
//
// The balancers of a new fleet know no others when they start. Each would consider itself
// the first reader and read the store several times. Until they know each other, only the
// seeds read.
func (f *FirstCopy) Place(now time.Duration, p Place) Place {
	if now < f.rankKnownAt && f.HasSources() {
		return LastPlace
	}
	return p
}

// HasSources reports whether there are sources to ask.
func (f *FirstCopy) HasSources() bool { return len(f.sources) > 0 }

// MayList reports whether this balancer may list the store.
func (f *FirstCopy) MayList(now time.Duration) bool { return f.initialized && now >= f.listAt }

// NextSource returns the source to ask next. It returns false if too many requests are
// unanswered.
func (f *FirstCopy) NextSource() (netip.AddrPort, bool) {
	if f.pending >= maxPendingPerSource*len(f.sources) {
		return netip.AddrPort{}, false
	}
	a := f.sources[f.requests%len(f.sources)]
	f.requests++
	f.pending++
	return a, true
}

// Pause returns how long to wait for an answer to the last request before the next source
// is asked as well.
func (f *FirstCopy) Pause() time.Duration {
	round := max(f.requests-1, 0) / max(len(f.sources), 1)
	return min(hedgeDelay<<min(round, 4), maxHedgeDelay)
}

// Failed records that a source had no copy or did not answer. It reports whether to ask
// the next source at once, which is the case until each has been asked once.
func (f *FirstCopy) Failed() bool {
	f.pending--
	return f.requests < len(f.sources)
}

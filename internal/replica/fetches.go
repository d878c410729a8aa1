package replica

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// FetchPatience is how long a peer that was asked for changes is waited for before
	// another one is asked beside it, since it was asked or the last part of its answer
	// arrived. Peers answer within milliseconds; the time also admits an answer that waits for
	// others on a small VM or for a slot.
	FetchPatience = 300 * time.Millisecond
	// maxFetches bounds the requests that are under way at once.
	maxFetches = 3
	// retryPause is how long a peer that failed is not asked again: one whose process has
	// ended refuses connections at once.
	retryPause = 100 * time.Millisecond
	// failureRetention is how long a peer that did not answer is asked after the others.
	failureRetention = 5 * time.Second
)

// Fetches decides which peers are asked for changes, and when: one at a time as long as each
// answers in time, so that no peer and no connection that went silent delays a change for
// longer than FetchPatience.
type Fetches struct {
	begun   int                              // requests so far
	pending []Fetch                          // in the order in which they began
	failed  map[netip.AddrPort]time.Duration // when a request to the peer failed last
	// unanswered is set while the requests since asking have all failed or are under way.
	unanswered bool
	asking     time.Duration
}

// Fetch is a request for changes.
type Fetch struct {
	ID      int // unique in a Fetches
	From    netip.AddrPort
	Started time.Duration
	active  time.Duration // when it began or a part of its answer arrived last
}

// Begin returns the request to make now, given the peers that have changes in order of
// preference. It returns false if none is to be made yet. It is under way until Ended.
func (f *Fetches) Begin(now time.Duration, peers []netip.AddrPort) (Fetch, bool) {
	peers = slices.DeleteFunc(slices.Clone(peers), func(p netip.AddrPort) bool { return f.failedWithin(now, p, retryPause) })
	if len(peers) == 0 || !f.MayBegin(now) {
		return Fetch{}, false
	}
	best := peers[0]
	for _, p := range peers[1:] {
		if f.cost(now, p) < f.cost(now, best) {
			best = p
		}
	}
	if !f.unanswered {
		f.unanswered, f.asking = true, now
	}
	f.begun++
	next := Fetch{ID: f.begun, From: best, Started: now, active: now}
	f.pending = append(f.pending, next)
	return next, true
}

// MayBegin reports whether a request may begin now.
func (f *Fetches) MayBegin(now time.Duration) bool {
	return len(f.pending) == 0 || len(f.pending) < maxFetches && f.OutOfPatience(now)
}

// Awaits reports whether a request is under way that may still be answered in time, and no
// earlier one was in vain.
func (f *Fetches) Awaits(now time.Duration) bool {
	return len(f.pending) > 0 && now-f.asking < FetchPatience
}

// Progressed records when a part of the answer to a request arrived last.
//
// Guards against answers over a slow link: further requests beside them would share it, so
// that all take as much longer.
func (f *Fetches) Progressed(id int, at time.Duration) {
	for i := range f.pending {
		if p := &f.pending[i]; p.ID == id {
			p.active = max(p.active, at)
		}
	}
}

// OutOfPatience reports whether requests are under way and none of them has been answered in
// time or is being answered. The connections that were open when they began are not to be
// trusted then.
func (f *Fetches) OutOfPatience(now time.Duration) bool {
	last := time.Duration(0)
	for _, p := range f.pending {
		last = max(last, p.active)
	}
	return len(f.pending) > 0 && now-last >= FetchPatience
}

// CaughtUp records that the replica lacks no known change any more, by whatever way.
func (f *Fetches) CaughtUp() { f.unanswered = false }

// Ended records the end of a request.
func (f *Fetches) Ended(now time.Duration, ended Fetch, ok bool) {
	f.pending = slices.DeleteFunc(f.pending, func(p Fetch) bool { return p.ID == ended.ID })
	f.forgetFailures(now)
	if ok {
		f.unanswered = false
		delete(f.failed, ended.From)
		return
	}
	if f.failed == nil {
		f.failed = map[netip.AddrPort]time.Duration{}
	}
	f.failed[ended.From] = now
}

// Oldest returns the first request that is under way. It returns false if there is none.
func (f *Fetches) Oldest() (Fetch, bool) {
	if len(f.pending) == 0 {
		return Fetch{}, false
	}
	return f.pending[0], true
}

// cost orders peers: those that are not being asked and did not fail recently first.
func (f *Fetches) cost(now time.Duration, peer netip.AddrPort) int {
	asked := slices.ContainsFunc(f.pending, func(p Fetch) bool { return p.From == peer })
	switch {
	case asked:
		return 2
	case f.failedWithin(now, peer, failureRetention):
		return 1
	}
	return 0
}

func (f *Fetches) failedWithin(now time.Duration, peer netip.AddrPort, d time.Duration) bool {
	at, failed := f.failed[peer]
	return failed && now-at < d
}

func (f *Fetches) forgetFailures(now time.Duration) {
	for p, at := range f.failed {
		if now-at >= failureRetention {
			delete(f.failed, p)
		}
	}
}

package edge

import (
	"sync/atomic"
	"time"

	"rosedale.dev/rosedale/internal/replica"
)

// arrivals records when parts of the store's responses to reads arrive. It is safe for concurrent
// use.
type arrivals struct {
	last     atomic.Int64 // when the last part arrived, as time.Duration; 0 if none has
	announce atomic.Bool  // the next part is to be announced to peers
}

// note records the arrival of a part. It reports whether it is to be announced.
func (a *arrivals) note(now time.Duration) (announce bool) {
	a.last.Store(int64(now))
	return a.announce.CompareAndSwap(true, false)
}

// underWay reports whether parts of a response arrive that was not complete when the last read
// succeeded.
func (a *arrivals) underWay(now, readDone time.Duration) bool {
	last := time.Duration(a.last.Load())
	return last > 0 && last > readDone && now-last < replica.FetchPatience
}

// noteArrival records that a part of a response to a read of the store has arrived. It may be
// called from any goroutine.
func (c *control) noteArrival() {
	if c.arrivals.note(c.now()) {
		c.post(c.announceArrival)
	}
}

// announceArrival tells the balancers that may be about to read the store that a response arrives
// here. In large fleets only the first of each data centre announces it, as after an outage of the
// store all balancers read at once.
//
// Guards against listings of all balancers at once over a link that they share: each takes as long
// as all together, while one listing and its copies would be there in time.
func (c *control) announceArrival() {
	switch {
	case c.fleet.Small():
		c.sendHeartbeat(c.now(), c.everyone())
	case c.fleet.Rank() == 0:
		c.sendHeartbeat(c.now(), c.nearAndRelays())
	}
}

package edge

import (
	"sync/atomic"

	"rosedale.dev/rosedale/platform"
)

// counts holds counters since the start of the process.
type counts struct {
	readErrors, sendErrors                       atomic.Uint64
	heartbeatsSent, heartbeatsLost               atomic.Uint64
	invalidHeartbeats, invalidItems              atomic.Uint64
	readFailures, fetchFailures, leaseFailures   atomic.Uint64
	readFailuresBy                               [platform.Unusable + 1]atomic.Uint64
	readsTooLarge                                atomic.Uint64 // of changes of the store, which was listed instead
	listingsLate                                 atomic.Uint64 // beside changes of the store that were late
	readsOutdated                                atomic.Uint64 // ended as a peer's answer had come first
	listingsFailed                               atomic.Uint64 // after changes of the store that failed to arrive
	changesTooLarge                              atomic.Uint64 // answers of peers
	answersRefused                               atomic.Uint64 // to peers, as too much is being sent
	fetchHedges                                  atomic.Uint64 // requests for changes beside one that is late
	copiesSent, copiesRefused                    atomic.Uint64 // full copies
	checks, checksFailed                         atomic.Uint64
	erasBegun, listingsOutdated, cataloguesOlder atomic.Uint64
	changes                                      atomic.Uint64
	lags                                         atomic.Uint64 // times that the replica was behind for lagReported
	heldLost                                     atomic.Uint64 // packets to be held that did not fit
}

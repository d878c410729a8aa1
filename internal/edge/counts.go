package edge

import "sync/atomic"

// counts are totals since the start.
type counts struct {
	readErrors, sendErrors                     atomic.Uint64
	heartbeatsSent, heartbeatsLost             atomic.Uint64
	badHeartbeats, badItems                    atomic.Uint64
	readFailures, fetchFailures, leaseFailures atomic.Uint64
	copiesSent, copiesRefused                  atomic.Uint64 // full ones
	checks, checksFailed                       atomic.Uint64
	eras, listingsOutdated, cataloguesOlder    atomic.Uint64
	changes                                    atomic.Uint64
}

package control

import "sync/atomic"

// Counts are totals since the start of the process.
type Counts struct {
	Pauses, StoreReads, StoreErrors, HandedOver, TakenOver atomic.Uint64
	HealthChecks, HealthErrors, FailOpen                   atomic.Uint64
}

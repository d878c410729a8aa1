package control

import "sync/atomic"

// Counts are totals since the start of the process: pauses of the process, reads of the
// store and failed ones, flows handed over and taken over, health checks and failed ones,
// and targets made eligible by failOpen.
type Counts struct {
	Pauses, StoreReads, StoreErrors, HandedOver, TakenOver atomic.Uint64
	HealthChecks, HealthErrors, FailOpen                   atomic.Uint64
}

package admission

import "time"

// Pool numbers a service's targets of one data centre; 0 is the balancer's own.
type Pool int

// AnyPool is the pool of a request that any pool can serve.
const AnyPool Pool = -1

// home is the pool of the balancer's own data centre.
const home Pool = 0

// Request is a request that asks for a place.
type Request[K comparable] struct {
	Key         K
	Priority    int           // 0 is the most urgent
	MaxWait     time.Duration // longest useful wait
	Pool        Pool          // AnyPool for an opening; else the pool of the flow's target
	Established bool          // on an open flow: never rejected
	// MaxHold is how long a request on an open flow waits at most before it is admitted beyond
	// the limit. After MaxWait it is admitted only if no other request can use the place, so
	// that it delays none that can still meet its goal. Less than MaxWait means MaxWait.
	MaxHold time.Duration
}

// Release is a waiting request that is to be sent or rejected now.
type Release[K comparable] struct {
	Key      K
	Pool     Pool // where it has its place; for a rejected request, the pool that it asked for
	Verdict  Verdict
	Waited   time.Duration
	Priority int
}

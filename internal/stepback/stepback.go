// Package stepback decides when a balancer tells the routers that it is not ready because
// its data centre cannot serve: it has been evacuated, or no target can be reached from it.
// Routers use another data centre once none of a data centre's balancers is ready. The
// package does no I/O and reads no clock: events and times are passed in, and decisions are
// returned.
package stepback

import (
	"slices"
	"time"
)

const (
	// evacuationDelay is how long the data centre must have been evacuated. All balancers
	// know an evacuation by then; while only a few have stepped back, routers use the rest.
	evacuationDelay = 2 * time.Second
	// heardWindow is how recent the latest heartbeat of a balancer of the own data centre
	// must be. Without one, this balancer's own link may be the cause.
	heardWindow = time.Second
	// startGrace is the time after a start in which a balancer does not step back, as its
	// view may be incomplete.
	startGrace = 3 * time.Second
	// minAway is the minimum time for which a balancer that found no target stays stepped
	// back. Routers take a second to notice a change.
	minAway = 2 * time.Second
	// checkInterval is the interval of the checks that decide on coming back.
	checkInterval = 500 * time.Millisecond
	// answersToReturn is the number of consecutive answered checks in one data centre from
	// which on a balancer comes back.
	answersToReturn = 2
)

// Reason says why a balancer has stepped back.
type Reason uint8

// The reasons.
const (
	None      Reason = iota // it has not stepped back
	Evacuated               // its data centre is evacuated
	NoTarget                // its openings find no target that answers
)

// String returns the name used in logs and status.
func (r Reason) String() string { return [...]string{"none", "evacuated", "no_target"}[r] }

// DataCenter is a data centre as known from registrations. It says nothing about whether
// this balancer can reach it.
type DataCenter struct {
	Name         string
	Evacuated    bool
	EvacuatedFor time.Duration // since this balancer learnt of the evacuation
	Balancers    int           // registered balancers
	Services     []string      // services with a registered target there
}

// servesAll reports whether the data centre can serve a list of services.
func (c *DataCenter) servesAll(services []string) bool {
	if c.Evacuated || c.Balancers == 0 || len(c.Services) == 0 {
		return false
	}
	for _, s := range services {
		if !slices.Contains(c.Services, s) {
			return false
		}
	}
	return true
}

// Openings summarizes the openings of one service since the previous tick. Copies of an
// opening count once.
type Openings struct {
	Service   string
	Total     int
	Unplaced  int           // reset because no target can be used
	Forwarded int           // forwarded to a target
	LastAlive time.Duration // latest sign of life of a target that openings can go to
}

// View is the input of a tick.
type View struct {
	Own         string // this balancer's data centre
	DataCenters []DataCenter
	// Senders is the number of other balancers of the own data centre that send regular
	// heartbeats to this one.
	Senders  int
	Openings []Openings // of every service, also those without openings
}

// Check asks for a check of one target.
type Check struct{ DataCenter, Service string }

// Decision is the result of a tick.
type Decision struct {
	Reason   Reason   // None if the balancer is ready as far as this package is concerned
	Changed  bool     // Reason differs from that of the previous tick
	Services []string // services concerned
	Checks   []Check  // checks to begin; Checked takes the result of each
}

// Decider decides for one balancer. It is not safe for concurrent use. All times are readings
// of one monotonic clock.
type Decider struct {
	started  time.Duration
	stopping bool
	heard    bool // a balancer of the own data centre has been heard
	heardAt  time.Duration
	history  history

	reason   Reason
	since    time.Duration // when reason became NoTarget
	services []string      // services concerned
	checks   checks
}

// Start begins the time in which the balancer does not step back.
func (d *Decider) Start(now time.Duration) { d.started = now }

// Stop makes ticks change nothing and begin no checks, because the balancer is stopping.
func (d *Decider) Stop() { d.stopping = true }

// Heard records a heartbeat of another balancer of the own data centre.
func (d *Decider) Heard(now time.Duration) { d.heard, d.heardAt = true, now }

// Checked takes the result of a check that a tick has asked for.
func (d *Decider) Checked(dataCenter string, answered bool) { d.checks.done(dataCenter, answered) }

// Tick evaluates the state. It is to be called about every 100 ms.
func (d *Decider) Tick(now time.Duration, v View) Decision {
	d.history.add(now, v.Openings)
	if d.stopping {
		return Decision{Reason: d.reason, Services: d.services}
	}
	reason, services := d.evaluate(now, v)
	changed := reason != d.reason
	switch {
	case changed && reason == NoTarget:
		d.since = now
		d.checks.reset(now)
	case changed:
		// Openings from before the change must not cause the next one.
		d.history = history{lastTick: now}
	}
	d.reason, d.services = reason, services
	out := Decision{Reason: reason, Changed: changed, Services: services}
	if reason == NoTarget {
		out.Checks = d.checks.begin(now, v.DataCenters, services)
	}
	return out
}

// evaluate returns the reason for which the balancer is to be stepped back now, and the
// services concerned.
func (d *Decider) evaluate(now time.Duration, v View) (Reason, []string) {
	own := find(v.DataCenters, v.Own)
	evacuated := own.Evacuated && own.EvacuatedFor > evacuationDelay
	if evacuated && otherServes(v, own.Services) && (d.reason != None || d.mayStepBack(now, v)) {
		return Evacuated, own.Services
	}
	switch d.reason {
	case NoTarget:
		back := now-d.since >= minAway && d.checks.answered()
		if !back && otherServes(v, d.services) {
			return NoTarget, d.services
		}
	case None:
		services := d.history.servicesOut(now)
		if len(services) > 0 && otherServes(v, services) && d.mayStepBack(now, v) {
			return NoTarget, services
		}
	}
	return None, nil
}

// mayStepBack reports whether this balancer itself is in a state to step back.
func (d *Decider) mayStepBack(now time.Duration, v View) bool {
	linkWorks := v.Senders == 0 || d.heard && now-d.heardAt <= heardWindow
	return now-d.started >= startGrace && linkWorks
}

// otherServes reports whether a data centre other than the own one can serve the services.
func otherServes(v View, services []string) bool {
	return slices.ContainsFunc(v.DataCenters, func(c DataCenter) bool { return c.Name != v.Own && c.servesAll(services) })
}

// find returns a data centre by its name, or an empty one.
func find(list []DataCenter, name string) DataCenter {
	if i := slices.IndexFunc(list, func(c DataCenter) bool { return c.Name == name }); i >= 0 {
		return list[i]
	}
	return DataCenter{Name: name}
}

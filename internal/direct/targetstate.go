package direct

import "time"

// target is a Target with what this balancer knows of it.
type target struct {
	Target
	since     time.Duration // first heard of here
	coldUntil time.Duration
	departed  bool // its registration was removed
	left      bool // after it had said that it would leave
	shadowed  bool // an older target has the same cookie

	flows int // open flows that pass this balancer
	busy  int // requests under way that pass this balancer
	peers Load

	progress time.Duration // last packet that shows it alive
	stalls   int           // repeats since then
	stalled  time.Duration // first of these repeats
	verify   bool          // departed without notice: ask whether it lives
	checking bool
	checked  time.Duration // start of the last check
	failed   int           // checks that found it unreachable, in a row
	dead     bool          // confirmed by checks
	finding  Finding       // of the last check
	endedAt  time.Duration // when it was found dead or its registration went
}

// Load is what flows hold at one target.
type Load struct {
	Flows int // open flows
	Busy  int // requests under way
}

// eligible reports whether new flows may go to the target.
func (t *target) eligible() bool {
	return !t.departed && !t.Draining && !t.dead && !t.shadowed && t.stalls < suspectStalls
}

// alive notes a packet that only a living target explains.
func (t *target) alive(now time.Duration) {
	t.progress = now
	t.stalls = 0
	t.failed = 0
	t.finding = Alive
	t.dead = false
}

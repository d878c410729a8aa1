package direct

import (
	"testing"
	"time"
)

// Until the usual response time is known, an opening must be allowed to wait for half of its
// goal: with a quarter, a balancer with four places rejected openings at half of the load that the
// slots can serve.
func TestLongestWait(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	r := b.f.catalogue.Routes[streams]
	if got := b.f.maxWait(&r); got != r.Goal/2 {
		t.Errorf("longest wait %v of the goal %v before the usual response time is known", got, r.Goal)
	}
	usual := time.Duration(b.learnUsualTime().longTermTime)
	if got, want := b.f.maxWait(&r), r.Goal-goalReserve*usual; got != max(want, r.Goal/4) {
		t.Errorf("longest wait %v, want %v or a quarter of the goal %v", got, want, r.Goal)
	}
}

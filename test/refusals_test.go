package test

import (
	"testing"
	"time"
)

// An operator replaces all seven balancers one by one while half of the slots are in use. No
// request may be refused: a slot is always free, and each request may wait for its admission
// for longer than a new home takes to decide.
func TestReplacementRefusesNothing(t *testing.T) {
	o := run(t, "rolling", "kavango", 28*time.Second)
	if n := o.Callers.Refused; n > 0 {
		t.Errorf("%d of %d requests were refused", n, o.Callers.Requests)
	}
}

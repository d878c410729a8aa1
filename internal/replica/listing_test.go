package replica

import (
	"testing"
	"time"
)

// Changes do not arrive. The store must be listed early enough for the bound on a replica's age,
// and not as long as the replica is current enough.
func TestListingBesideLateChanges(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{
		0:                             TakeoverAge,
		500 * time.Millisecond:        TakeoverAge - 500*time.Millisecond,
		TakeoverAge:                   changesPatience,
		MaxFollowAge:                  changesPatience,
		MaxFollowAge + FetchPatience:  changesPatience,
		TakeoverAge - changesPatience: changesPatience,
	} {
		if got := ListBeside(age); got != want {
			t.Errorf("age %v: listed after %v, want %v", age, got, want)
		}
	}
}

// The store refuses everything. It must not be listed after each refusal, as it is for changes that
// are refused for their size.
func TestRefusedListingsArePaced(t *testing.T) {
	var l Listings
	if !l.May(0) {
		t.Error("not listed after the first refusal")
	}
	l.Done(0, true)
	if l.May(listInterval - 1) {
		t.Error("listed again too soon")
	}
	if !l.May(listInterval) {
		t.Error("not listed any more")
	}
	l.Done(time.Second, false)
	if !l.May(time.Second) {
		t.Error("not listed although the last listing was not refused")
	}
}

func TestArrivingChangesAreWaitedFor(t *testing.T) {
	const size = 200_000
	for name, c := range map[string]struct {
		arrival Arrival
		want    bool
	}{
		"nothing has arrived":         {Arrival{0, 0, 0, TakeoverAge}, false},
		"some has arrived":            {Arrival{1000, 50 * time.Millisecond, 100 * time.Millisecond, TakeoverAge}, true},
		"has stopped":                 {Arrival{1000, changesPatience, 100 * time.Millisecond, TakeoverAge}, false},
		"most of a listing's":         {Arrival{size/changesShare + 1, 0, 100 * time.Millisecond, TakeoverAge}, false},
		"takes long all the same":     {Arrival{1000, 0, arrivingPatience, TakeoverAge}, false},
		"a listing is due":            {Arrival{1000, 0, 100 * time.Millisecond, MaxFollowAge}, false},
		"no listing would be in time": {Arrival{1000, 0, 100 * time.Millisecond, applyTime}, true},
	} {
		if got := c.arrival.MayComeFirst(size); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

package replica

import (
	"net/netip"
	"testing"
	"time"
)

var (
	peerA = netip.MustParseAddrPort("10.0.0.1:1")
	peerB = netip.MustParseAddrPort("10.0.0.2:1")
	peerC = netip.MustParseAddrPort("10.0.0.3:1")
)

// Peers that accept requests and answer none of them must not delay a change one after
// another: each further one is asked after FetchPatience.
func TestSilentPeersAreNotWaitedForInTurn(t *testing.T) {
	var f Fetches
	peers := []netip.AddrPort{peerA, peerB, peerC}
	for i, want := range peers {
		now := time.Duration(i) * FetchPatience
		if i > 0 && f.MayBegin(now-1) {
			t.Errorf("%v may be asked before the patience with the peer before it ended", want)
		}
		got, ok := f.Begin(now, peers)
		if !ok || got.From != want {
			t.Errorf("request %d goes to %v, %v, want %v", i, got.From, ok, want)
		}
	}
	if _, ok := f.Begin(time.Hour, peers); ok {
		t.Error("more requests are under way than maxFetches")
	}
}

// An answer arrives over a slow link. No other peer must be asked beside, which would slow it down,
// until it stops.
func TestArrivingAnswerIsWaitedFor(t *testing.T) {
	var f Fetches
	peers := []netip.AddrPort{peerA, peerB}
	r, _ := f.Begin(0, peers)
	now := time.Duration(0)
	for range 10 {
		now += FetchPatience - 1
		if f.MayBegin(now) {
			t.Fatalf("another peer may be asked after %v while an answer arrives", now)
		}
		f.Progressed(r.ID, now)
	}
	if !f.MayBegin(now + FetchPatience) {
		t.Error("no other peer may be asked after the answer has stopped")
	}
}

func TestPeersThatFailedAreAskedLast(t *testing.T) {
	var f Fetches
	peers := []netip.AddrPort{peerA, peerB}
	first, _ := f.Begin(0, peers)
	f.Ended(time.Second, first, false)
	second, _ := f.Begin(time.Second, peers)
	if second.From != peerB {
		t.Errorf("%v is asked after %v failed", second.From, first.From)
	}
	f.Ended(time.Second, second, true)
	if third, ok := f.Begin(time.Second+retryPause, []netip.AddrPort{peerA}); !ok || third.From != peerA {
		t.Error("the only peer is not asked again after it failed")
	}
	f = Fetches{}
	first, _ = f.Begin(0, peers)
	f.Ended(0, first, false)
	if again, _ := f.Begin(failureRetention, peers); again.From != peerA {
		t.Errorf("%v is asked, want %v, whose failure is long ago", again.From, peerA)
	}
}

// The only peer that has a change has ended and refuses connections at once. It must not be asked
// again as fast as it refuses.
func TestRefusingPeerIsNotAskedWithoutPause(t *testing.T) {
	var f Fetches
	one := []netip.AddrPort{peerA}
	requests := 0
	for now := time.Duration(0); now < time.Second; now += time.Millisecond {
		if r, ok := f.Begin(now, one); ok {
			requests++
			f.Ended(now, r, false)
		}
	}
	if requests > 10 {
		t.Errorf("%d requests in a second, want 10 at most", requests)
	}
}

// Peers refuse requests one after another. What they answer must not be awaited for longer than
// the patience with a single one.
func TestRefusalsAreNotAwaitedInTurn(t *testing.T) {
	var f Fetches
	peers := []netip.AddrPort{peerA, peerB, peerC}
	for now := time.Duration(0); now < 2*FetchPatience; now += FetchPatience / 4 {
		r, ok := f.Begin(now, peers)
		if want := now < FetchPatience; !ok || f.Awaits(now) != want {
			t.Errorf("after %v: awaits an answer %v, want %v", now, f.Awaits(now), want)
		}
		f.Ended(now, r, false)
	}
	r, _ := f.Begin(time.Minute, peers)
	f.Ended(time.Minute, r, true)
	if _, ok := f.Begin(time.Hour, peers); !ok || !f.Awaits(time.Hour) {
		t.Error("does not await an answer after an earlier success")
	}
}

// The only peer that has a change is asked again when its answer is late, as the connection
// may have gone silent.
func TestOnlyPeerIsAskedAgain(t *testing.T) {
	var f Fetches
	one := []netip.AddrPort{peerA}
	first, _ := f.Begin(0, one)
	if !f.Awaits(FetchPatience-1) || f.Awaits(FetchPatience) {
		t.Error("an answer is awaited for another time than FetchPatience")
	}
	second, ok := f.Begin(FetchPatience, one)
	if !ok || second.From != peerA || second.ID == first.ID {
		t.Errorf("second request %+v, %v", second, ok)
	}
	f.Ended(FetchPatience, first, false)
	if o, ok := f.Oldest(); !ok || o != second {
		t.Errorf("oldest request %+v, %v, want %+v", o, ok, second)
	}
}

package admission

import (
	"math"
	"time"
)

const (
	// maxShare bounds shares, so that a nonsensical one does not overflow.
	maxShare = 1 << 20
	// roundingError is subtracted before places are rounded up, so that a product such as
	// 6.000000001 does not add a place.
	roundingError = 1e-6
	// maxPause bounds the pause between requests of a share below 1. No caller waits longer.
	maxPause = 10 * time.Second

	// quickRatio is the relative response time below which targets do not queue.
	quickRatio = 1.5
	// slowRatio is the relative response time above which the share is reduced. Three
	// requests per slot, which is the intended load, give up to 3.
	slowRatio = 3
	// slowFarRatio is the relative response time up to which another data centre never counts
	// as full.
	slowFarRatio = 1.8
	// soonerFar times the relative response time of the own data centre is the one below which
	// another data centre has room. Openings go where they are answered sooner, so that a data centre with 2.3
	// times the demand of its slots can use others up to 0.9 of theirs, whose answers then take
	// 1.5 to 1.8 times as long as normal.
	soonerFar = 0.75
)

// pool counts the requests in flight at the targets of one data centre.
type pool struct {
	share    float64 // places without the factor; 0 if the pool cannot be used
	factor   factor
	inFlight int
	granted  int // places that a far pool has gained while pool 0 was full
	pace     pace
	speed    smoothed
	answered bool // an answer has come since the last tick
}

func newPool() pool { return pool{factor: normalFactor, speed: newSmoothed()} }

func (p *pool) usable() bool { return p.share > 0 }

func (p *pool) setShare(share float64) {
	if !(share > 0) { // also NaN
		share = 0
	}
	p.share = min(share, maxShare)
}

// adjusted is the share with the factor.
func (p *pool) adjusted() float64 { return p.share * float64(p.factor) }

// places is the number of requests that may be in flight: the adjusted share, rounded up. A
// usable pool has at least one place.
func (p *pool) places() int {
	if !p.usable() {
		return 0
	}
	return max(int(math.Ceil(p.adjusted()-roundingError)), 1)
}

// hasFree reports whether fewer than places requests are in flight and, with a share below 1,
// the pause after the last one has ended.
func (p *pool) hasFree(now time.Duration, places int) bool {
	return p.inFlight < places && (p.adjusted() >= 1 || p.pace.allows(now))
}

func (p *pool) add() { p.inFlight++ }

// remove frees a place. A call without a place taken is ignored, so that it cannot raise the
// limit.
func (p *pool) remove(now time.Duration) {
	p.inFlight = max(p.inFlight-1, 0)
	if s := p.adjusted(); s > 0 && s < 1 {
		p.pace.pause(now, s)
	}
}

// isQuick reports whether the answers show that the targets do not queue.
func (p *pool) isQuick(now time.Duration) bool { return p.isBelow(now, quickRatio) }

// isBelow reports whether the relative response time is below ratio. Requests in flight without
// any answer since the last tick show nothing: the targets may be unreachable. It is to be called
// at ticks, before answered is cleared.
func (p *pool) isBelow(now time.Duration, ratio float64) bool {
	return p.speed.at(now) < ratio && (p.answered || p.inFlight == 0)
}

// wasBelow is isBelow for calls between two ticks, when answered covers only a part of an
// interval: an answer within maxGap counts instead.
func (p *pool) wasBelow(now time.Duration, ratio float64) bool {
	return p.speed.at(now) < ratio && (now-p.speed.last <= maxGap || p.inFlight == 0)
}

// adjustFactor raises or lowers the factor by the answers while all places are taken, and moves it
// back towards normal otherwise.
func (p *pool) adjustFactor(now time.Duration) {
	switch {
	case !p.usable() || p.hasFree(now, p.places()):
		p.factor = p.factor.relax()
	case p.isQuick(now):
		p.factor = p.factor.raise()
	case p.speed.at(now) > slowRatio:
		p.factor = p.factor.lower()
	}
}

// adjustGranted changes the places of a far pool by its answers while pool 0 is full.
// home is the relative response time of pool 0.
func (p *pool) adjustGranted(now time.Duration, homeFull bool, home float64) {
	switch {
	case !homeFull || p.speed.at(now) > max(slowFarRatio, home):
		p.granted -= (p.granted*farLoss + 99) / 100
	case p.isBelow(now, max(quickRatio, soonerFar*home)):
		p.granted += max(1, int(p.adjusted()/farSteps))
	}
	p.granted = min(p.granted, p.places())
}

// farSteps is the number of ticks in which a far pool with quick answers gains its whole share.
// With one place a tick, a balancer with 53 places there needed 5 s, and a data centre with 2.3
// times the demand of its slots rejected 26,411 openings in 6 s beside free slots elsewhere.
const farSteps = 2

// farLoss is the percentage of its places that a far pool loses, rounded up, at a tick with slow
// answers, and at a tick at which pool 0 has a free place. In the second case the places are not
// taken away at once, so that a pool 0 that is full at most ticks does not start from none each
// time.
const farLoss = 30

package direct

import (
	"net/netip"
	"strconv"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// TargetID identifies a target. One that starts again may keep it; see Start.
type TargetID uint64

// Born tells the starts of a target apart: the time of day at which the target
// says that it started. It says nothing of their order, as clocks may step.
type Born struct {
	Known   bool  // the target tells it
	Millis int64 // Unix milliseconds
}

// String returns it for logs.
func (b Born) String() string {
	if !b.Known {
		return "not told"
	}
	return time.UnixMilli(b.Millis).UTC().Format(time.RFC3339Nano)
}

// Start is one start of a target. What is known of one does not hold for another.
type Start struct {
	ID   TargetID
	Born Born
}

// Cookie returns what the packets of the target's flows carry. Identifiers are
// wider than cookies, so that two targets may share one; see View.
func (id TargetID) Cookie() Cookie {
	if c := Cookie(id); c != 0 {
		return c
	}
	return 1
}

// Target is a target as it registered itself.
type Target struct {
	ID         TargetID
	Born       Born
	Revision   revision.Revision // of the store, when the registration was written
	Service    string
	Addr       netip.AddrPort
	DataCenter string
	Slots      int // requests that it works on at a time
	Draining   bool
	// ColdUntil is when the target is warm, on the reader's monotonic clock.
	// Until then it is slow.
	ColdLeft time.Duration
}

// Start returns which start of the target registered itself.
func (t Target) Start() Start { return Start{t.ID, t.Born} }

// Same reports whether two registrations differ only in what every heartbeat
// changes.
func (t Target) Same(o Target) bool {
	t.ColdLeft, o.ColdLeft = 0, 0
	t.Revision, o.Revision = revision.Revision{}, revision.Revision{}
	return t == o
}

// String returns the identifier as the store spells it.
func (id TargetID) String() string { return strconv.FormatUint(uint64(id), 16) }

package direct

import (
	"net/netip"
	"strconv"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// TargetID identifies a target. A target may keep it across restarts; see Start.
type TargetID uint64

// Born tells the starts of a target apart. It is the wall-clock time at which the target says
// that it started, and gives no order of the starts, because clocks may step.
type Born struct {
	Known  bool  // the registration contains it
	Millis int64 // Unix milliseconds
}

// String returns the start time for logs.
func (b Born) String() string {
	if !b.Known {
		return "not told"
	}
	return time.UnixMilli(b.Millis).UTC().Format(time.RFC3339Nano)
}

// Start identifies one start of a target. State learnt about one start does not apply to
// another.
type Start struct {
	ID   TargetID
	Born Born
}

// Cookie returns the cookie carried by packets of the target's flows. Identifiers are wider
// than cookies, so two targets may share one; see Forwarder.claimCookie.
func (id TargetID) Cookie() Cookie {
	if c := Cookie(id); c != 0 {
		return c
	}
	return 1
}

// Target is a target's registration.
type Target struct {
	ID         TargetID
	Born       Born
	Revision   revision.Revision // store revision of the registration
	Service    string
	Addr       netip.AddrPort
	DataCenter string
	Slots      int  // requests served concurrently
	Draining   bool // the target has announced that it leaves
	// ColdLeft is how much longer the target warms up, counted from when the registration was
	// read. While warming up it is slow.
	ColdLeft time.Duration
}

// Start returns the start of the target that wrote the registration.
func (t Target) Start() Start { return Start{t.ID, t.Born} }

// Same reports whether two registrations are equal except for the fields that change with
// every heartbeat.
func (t Target) Same(o Target) bool {
	t.ColdLeft, o.ColdLeft = 0, 0
	t.Revision, o.Revision = revision.Revision{}, revision.Revision{}
	return t == o
}

// String returns the identifier in hexadecimal, as in the store.
func (id TargetID) String() string { return strconv.FormatUint(uint64(id), 16) }

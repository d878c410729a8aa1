package direct

import (
	"net/netip"
	"strconv"
	"time"
)

// TargetID identifies one start of a target. A target that starts again, also
// at the same address, has a new one.
type TargetID uint64

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
	Service    string
	Addr       netip.AddrPort
	DataCenter string
	Slots      int // requests that it works on at a time
	Draining   bool
	// ColdUntil is when the target is warm, on the reader's monotonic clock.
	// Until then it is slow.
	ColdLeft time.Duration
}

// Same reports whether two registrations differ only in what every heartbeat
// changes.
func (t Target) Same(o Target) bool {
	t.ColdLeft, o.ColdLeft = 0, 0
	return t == o
}

// String returns the identifier as the store spells it.
func (id TargetID) String() string { return strconv.FormatUint(uint64(id), 16) }

package direct

// claimCookie maps the target's cookie to it, unless another target with the same one precedes it.
//
// Two identifiers may share their low 32 bits. To keep one target's packets from reaching the
// other, only one of them has the cookie, and the other gets no new flows until the first is
// forgotten. Which one depends on their registrations alone, as all balancers have to agree,
// whatever the order in which they learnt of them.
func (f *Forwarder) claimCookie(x *target) {
	c := x.Cookie()
	holder := f.cookies[c]
	if holder == x {
		return
	}
	if holder != nil && holder.precedes(x.Target) {
		x.cookieTaken = true
		return
	}
	if holder != nil {
		holder.cookieTaken = true
		holder.expireShares()
	}
	x.cookieTaken = false
	x.expireShares()
	f.cookies[c] = x
	delete(f.unknownCookies, c)
}

// releaseCookie gives the cookie of a target that is forgotten to another one that has the same.
func (f *Forwarder) releaseCookie(x *target) {
	c := x.Cookie()
	if f.cookies[c] != x {
		return
	}
	delete(f.cookies, c)
	for _, o := range f.targets {
		if o.Cookie() == c {
			f.claimCookie(o)
		}
	}
}

// precedes reports whether the target has the cookie that it shares with another one: it started
// earlier, so that it is more likely to have open flows.
func (t Target) precedes(o Target) bool {
	switch {
	case t.Born == o.Born:
		return t.ID < o.ID
	case t.Born.Known != o.Born.Known:
		return t.Born.Known
	default:
		return t.Born.Millis < o.Born.Millis
	}
}

package router

import (
	"time"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/flow"
)

// uncounted is a flag of flow.Entry that only this package uses. It marks the
// entry of a flow whose home this balancer became and whose load is not counted
// yet. The load is counted with the next packet that shows that the flow is
// still active; see provesActive.
const uncounted uint8 = 1 << 7

// elsewhere is another such flag. It marks the entry of a flow that may have been counted while
// another balancer was its home; see releaseElsewhere.
const elsewhere uint8 = 1 << 6

// load returns a copy of the entry of the call's flow.
func (c *call) load() (flow.Entry, bool) { return c.r.load(c.key, c.keyHash) }

func (r *Router) load(k flow.Key, hash uint64) (flow.Entry, bool) {
	s := r.table.Shard(hash)
	s.Lock()
	defer s.Unlock()
	if e := s.Get(k, hash); e != nil {
		return *e, true
	}
	return flow.Entry{}, false
}

// store writes e to the table. It returns false if the table is full.
func (r *Router) store(e flow.Entry) bool {
	hash := e.Key.Hash()
	s := r.table.Shard(hash)
	s.Lock()
	defer s.Unlock()
	p := s.Get(e.Key, hash)
	if p == nil {
		p = s.Insert(e.Key, hash, e.State)
	}
	if p == nil {
		return false
	}
	*p = e
	return true
}

func (r *Router) remove(k flow.Key) {
	hash := k.Hash()
	s := r.table.Shard(hash)
	s.Lock()
	s.Delete(k, hash)
	s.Unlock()
}

// acquire counts the entry of the call's flow at its target unless it is counted already.
func (c *call) acquire(e *flow.Entry) {
	if !c.isHome() {
		e.Flags |= elsewhere
	}
	c.r.acquire(e, c.addr.Service, c.addr.Unit())
}

// acquire counts e at its target unless it is counted already.
func (r *Router) acquire(e *flow.Entry, service uint32, u balance.Unit) {
	e.Flags &^= uncounted
	if e.Flags&flow.Counted != 0 {
		return
	}
	if p := r.pools[service]; p != nil {
		p.Acquire(e.Target, u)
		e.Flags |= flow.Counted
	}
}

// releaseLater ends the count of e once its target has had time to retransmit
// its SYN-ACK.
func (r *Router) releaseLater(now time.Duration, e *flow.Entry, service uint32, u balance.Unit) {
	if e.Flags&flow.Counted == 0 {
		return
	}
	e.Flags &^= flow.Counted
	if p := r.pools[service]; p != nil {
		p.ReleaseLater(now, e.Target, u)
	}
}

// release ends the count of e at its target.
func (r *Router) release(e *flow.Entry, service uint32, u balance.Unit) {
	e.Flags &^= uncounted
	if e.Flags&flow.Counted == 0 {
		return
	}
	e.Flags &^= flow.Counted
	if p := r.pools[service]; p != nil {
		p.Release(e.Target, u)
	}
}

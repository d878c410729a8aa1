package router

import (
	"time"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/flow"
)

// adopt marks an entry whose home this balancer became and whose load it has
// not counted yet: the flow's next packet shows that the flow still lives.
const adopt uint8 = 1 << 7

// load returns a copy of the entry of c's flow.
func (c *call) load() (flow.Entry, bool) { return c.r.load(c.key, c.hash) }

func (r *Router) load(k flow.Key, hash uint64) (flow.Entry, bool) {
	s := r.table.Shard(hash)
	s.Lock()
	defer s.Unlock()
	if e := s.Get(k, hash); e != nil {
		return *e, true
	}
	return flow.Entry{}, false
}

// store writes e back, or reports that the table is at its bound.
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

// hold counts e at its target, once.
func (r *Router) hold(e *flow.Entry, service uint32, u balance.Unit) {
	e.Flags &^= adopt
	if e.Flags&flow.Counted != 0 {
		return
	}
	if p := r.pools[service]; p != nil {
		p.Acquire(e.Target, u)
		e.Flags |= flow.Counted
	}
}

// releaseLater ends what hold counted when the target has had time to repeat its
// SYN-ACK.
func (r *Router) releaseLater(now time.Duration, e *flow.Entry, service uint32, u balance.Unit) {
	if e.Flags&flow.Counted == 0 {
		return
	}
	e.Flags &^= flow.Counted
	if p := r.pools[service]; p != nil {
		p.ReleaseLater(now, e.Target, u)
	}
}

// release ends what hold counted.
func (r *Router) release(e *flow.Entry, service uint32, u balance.Unit) {
	e.Flags &^= adopt
	if e.Flags&flow.Counted == 0 {
		return
	}
	e.Flags &^= flow.Counted
	if p := r.pools[service]; p != nil {
		p.Release(e.Target, u)
	}
}

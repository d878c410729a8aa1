package edge

import (
	"sync"
	"sync/atomic"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/platform"
)

// maxEarly bounds the openings that wait for the first catalogue. It is what a busy VM
// receives in 0.2 s.
const maxEarly = 512

// earlyOpenings queues the opening packets that arrive before the first catalogue.
type earlyOpenings struct {
	mu       sync.Mutex
	closed   bool
	openings [][]byte
	dropped  atomic.Uint64
}

// add queues an opening packet. It returns false once the catalogue has arrived. Packets
// beyond maxEarly are dropped and counted.
func (o *earlyOpenings) add(packet []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	if len(o.openings) < maxEarly {
		o.openings = append(o.openings, append([]byte(nil), packet...))
	} else {
		o.dropped.Add(1)
	}
	return true
}

// drain returns the queued packets and closes the queue.
func (o *earlyOpenings) drain() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	out := o.openings
	o.openings = nil
	return out
}

// handleEarly handles the openings that waited for the first catalogue. It runs on the
// control goroutine.
func (p *packets) handleEarly() {
	buf := make([]byte, platform.MaxDatagram+1)
	var seg direct.Segment
	for _, b := range p.early.drain() {
		n := copy(buf[platform.PrefixSize:], b)
		p.handle(buf, n, &seg)
	}
}

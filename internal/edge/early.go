package edge

import (
	"sync"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/platform"
)

// maxEarly bounds the openings that wait for the first catalogue: 0.2 s of what
// a busy VM gets.
const maxEarly = 512

// earlyOpenings are openings that came before the first catalogue.
type earlyOpenings struct {
	mu     sync.Mutex
	closed bool
	kept   [][]byte
}

// keep takes an opening unless the catalogue is there.
func (o *earlyOpenings) keep(packet []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	if len(o.kept) < maxEarly {
		o.kept = append(o.kept, append([]byte(nil), packet...))
	}
	return true
}

// take returns what was kept; nothing is kept any more.
func (o *earlyOpenings) take() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	out := o.kept
	o.kept = nil
	return out
}

// openEarly handles the openings that waited for the first catalogue.
func (p *packets) openEarly() {
	buf := make([]byte, platform.MaxDatagram+1)
	var seg direct.Segment
	for _, b := range p.early.take() {
		n := copy(buf[platform.PrefixSize:], b)
		p.handle(buf, n, &seg)
	}
}

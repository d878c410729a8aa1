package balance

import "time"

// SetPeerExcess sets how many more connections than this balancer its peers have
// at target id, summed over all peers and estimated from the last reports.
func (p *Pool) SetPeerExcess(id uint32, connections int) {
	if s := p.byID[id]; s != nil {
		s.peerExcess = connections
	}
}

// ReportLoad records the load that target id reported, where 1 is full.
func (p *Pool) ReportLoad(now time.Duration, id uint32, load float64) {
	s := p.byID[id]
	if s == nil || now <= s.lastReportAt {
		return
	}
	s.smooth(now, load)
	sum := 0.0
	for _, t := range p.list {
		sum += t.reported
	}
	avg := sum / float64(len(p.list))
	for _, t := range p.list {
		t.excess = 0
		if t.hasReliableLoad(now) && t.reported > avg+reportMargin {
			t.excess = min((t.reported-avg)/max(avg, reportMargin), maxExcess)
		}
	}
}

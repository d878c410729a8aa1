package soak

import (
	"encoding/json"
	"net/netip"
	"os"
	"strings"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

// minIdleTime is the time for which all targets of a service must have been idle when a
// rejection is an error. A balancer learns of free slots by the callers' acknowledgements.
const minIdleTime = 100 * time.Millisecond

// rejection is a request that was rejected, before its flow was open or by its target.
type rejection struct {
	body   string
	caller netip.AddrPort
	idle   bool // all targets of the service were idle
}

// noteRejection records that a request was rejected.
func (w *world) noteRejection(fl *direct.Flow, to netip.AddrPort, body string) {
	r := rejection{body, fl.Local(), w.isIdle(serviceOf[to])}
	w.rejectionsMu.Lock()
	defer w.rejectionsMu.Unlock()
	w.rejections = append(w.rejections, r)
}

// isIdle reports whether all running targets of a service have been idle for minIdleTime.
func (w *world) isIdle(service string) bool {
	for _, x := range *w.known.Load() {
		if x.service == service && !x.ended.Load() && x.IdleTime() < minIdleTime {
			return false
		}
	}
	return true
}

// checkRejections checks that no rejected request has run, and that no balancer has rejected
// an opening because of overload while all targets of the service were idle.
// Only the balancers' logs have the reason of a reset, and they leave out lines beyond a
// rate, so that a wrong rejection may be missed.
func (w *world) checkRejections() {
	idle := map[string]bool{}
	for _, r := range w.rejections {
		if w.ran.Has(r.body) {
			w.t.Errorf("request %s ran although it was rejected", r.body)
			w.trace(r.caller)
		}
		idle[r.caller.String()] = idle[r.caller.String()] || r.idle
	}
	wrong := 0
	for _, n := range w.nodes {
		text, err := os.ReadFile(n.boot + ".log")
		if err != nil {
			w.t.Error(err)
		}
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, `"reset_overload"`) {
				continue
			}
			var entry struct{ Caller string }
			if err := json.Unmarshal([]byte(line), &entry); err != nil {
				w.t.Errorf("balancer %s: log line %q: %v", n.addr, line, err)
			}
			if idle[entry.Caller] {
				wrong++
				if wrong <= maxTraced {
					w.t.Logf("rejected while all targets of the service were idle: balancer %s: %s", n.addr, strings.TrimSpace(line))
				}
			}
		}
	}
	if wrong > 0 {
		w.overloadFailed("%d openings were rejected while all targets of the service were idle", wrong)
	}
}

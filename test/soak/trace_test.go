package soak

import (
	"net/netip"
	"os"
	"strings"
)

// maxTraced bounds the flows of which a failed run prints what balancers logged: CI keeps
// its output and no files.
const maxTraced = 3

// trace prints what the balancers logged about a caller's flow.
func (w *world) trace(caller netip.AddrPort) {
	if w.traced.Add(1) > maxTraced {
		return
	}
	for _, n := range w.nodes {
		text, err := os.ReadFile(n.boot + ".log")
		if err != nil {
			w.t.Logf("balancer %s: %v", n.addr, err)
			continue
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, `"`+caller.String()+`"`) {
				w.t.Logf("balancer %s: %s", n.addr, strings.TrimSpace(line))
			}
		}
	}
}

// traceRequest prints what the balancers logged about the flow of a request.
func (w *world) traceRequest(body string) {
	if caller, ok := w.callerOf.Load(body); ok {
		w.trace(caller.(netip.AddrPort))
	}
}

package soak

import (
	"net/netip"
	"os"
	"strings"
)

// maxTraced bounds the flows whose log lines a failed run prints. They are printed because
// CI keeps the output but no files.
const maxTraced = 3

// trace prints the log lines of all balancers about a caller's flow.
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

// traceRequest prints the log lines of all balancers about the flow of a request.
func (w *world) traceRequest(body string) {
	if caller, ok := w.callerOf.Load(body); ok {
		w.trace(caller.(netip.AddrPort))
	}
}

package main

import (
	"errors"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

const (
	idleRoutes    = 8   // routes without traffic at the beginning
	growth        = 350 // routes that one big_config adds
	growthSteps   = 4
	stormVersions = 25
	stormGap      = 80 * time.Millisecond
	probeGap      = 200 * time.Millisecond
	afterStorm    = 34 * time.Second
)

// Service addresses of the case.
var (
	steadyRoute  = netip.MustParseAddrPort("198.18.0.1:443") // unchanged
	addedRoute   = netip.MustParseAddrPort("198.18.0.2:443") // added by the last version
	droppedRoute = netip.MustParseAddrPort("198.18.0.3:443") // dropped by the last version
	movedRoute   = netip.MustParseAddrPort("198.18.0.4:443") // moved from catalogue to scan-store by the last version
)

// configStorm changes the desired state in quick succession. With trouble, the machine that reads
// the store is removed for good at the beginning. It checks CONFIG: a request sent later than
// applyBound after the ack of the last version must not be handled as only an older one allows.
func configStorm(r *rig) (bool, error) {
	if err := r.addTargets("catalogue", 2); err != nil {
		return false, err
	}
	if err := r.addTargets("scan-store", 1); err != nil {
		return false, err
	}
	o := &operator{rig: r}
	for _, a := range []netip.AddrPort{steadyRoute, droppedRoute, movedRoute} {
		o.set(routeTo(a, "catalogue"))
	}
	o.addIdle(idleRoutes)
	o.write()
	if err := r.startFleet(); err != nil {
		return false, err
	}
	var steadyAsked, steadyFailed atomic.Int64
	var n atomic.Uint64
	r.every(probeGap/2, func() { // runs on, so that the fleet is seen to serve
		k := n.Add(1)
		r.wg.Go(func() {
			steadyAsked.Add(1)
			if x := r.probe(int(k%uint64(len(zones))), k, steadyRoute); x.service != "catalogue" {
				steadyFailed.Add(1)
				r.log("steady request over %s: %s", x.via, x)
			}
		})
	})
	for range growthSteps {
		time.Sleep(time.Second)
		o.addIdle(growth)
		o.write()
	}
	time.Sleep(stabilityWindow)
	r.note("desired state: %d routes, %d bytes", len(o.routes), len(r.store.Value(platform.CatalogueKey)))
	reader, err := r.reader()
	if err != nil {
		return false, err
	}
	if r.trouble {
		r.note("%s, which reads the store, loses power for good", reader.name)
		reader.signal(syscall.SIGKILL)
	}
	acked := r.storm(o)
	r.note("version %d was acknowledged, the last of %d in %.2f s", o.version, stormVersions, (stormVersions * stormGap).Seconds())
	time.Sleep(time.Until(acked.Add(stabilityWindow)))
	wrong, probes := 0, 0
	for time.Since(acked) < afterStorm {
		for zone := range zones {
			for _, at := range []netip.AddrPort{addedRoute, droppedRoute, movedRoute} {
				sent := time.Since(acked)
				x := r.probe(zone, n.Add(1)<<8, at)
				probes++
				verdict := "as version requires"
				if isOld(at, x) {
					wrong++
					verdict = "AS ONLY AN OLDER VERSION ALLOWS"
				}
				r.log("request to %s sent %.2f s after the ack over %s: %s, %s", at, sent.Seconds(), x.via, x, verdict)
			}
		}
		time.Sleep(probeGap)
	}
	for _, b := range r.balancers {
		s, err := b.status()
		r.note("%s: version %d, %v", b.name, s.Version, err)
	}
	r.note("requests to the unchanged route: %d, not served %d", steadyAsked.Load(), steadyFailed.Load())
	r.note("requests to the changed routes, sent later than %v after the ack: %d, handled as only an older version allows: %d", applyBound, probes, wrong)
	return wrong > 0, nil
}

// storm writes versions in quick succession and returns when the last was acknowledged.
func (r *rig) storm(o *operator) time.Time {
	var acked time.Time
	next := time.Now()
	for i := range stormVersions {
		for k := range o.routes {
			o.routes[k].TimeoutMS = 2500 + i%2
		}
		if i == stormVersions-1 {
			o.set(routeTo(addedRoute, "catalogue"))
			o.drop(droppedRoute)
			o.set(routeTo(movedRoute, "scan-store"))
		}
		acked = o.write()
		next = next.Add(stormGap)
		time.Sleep(time.Until(next))
	}
	return acked
}

// outcome is how a request ended.
type outcome struct {
	via     string // balancer that took the opening
	service string // that ran it; "" if it was not answered
	err     error
}

func (x outcome) String() string {
	if x.service != "" {
		return "run by " + x.service
	}
	return x.err.Error()
}

// isOld reports whether a request was handled as only the versions before the last allow.
func isOld(at netip.AddrPort, x outcome) bool {
	switch at {
	case addedRoute:
		return errors.Is(x.err, direct.ErrReset)
	case droppedRoute:
		return x.service != ""
	}
	return x.service == "catalogue"
}

// probe sends a request on a flow of its own.
func (r *rig) probe(zone int, flow uint64, at netip.AddrPort) outcome {
	b := r.router(zone, flow)
	out := outcome{via: b.name}
	fl, err := r.callers[zone].Open(at, b.data())
	if err == nil {
		defer fl.Close()
		var answer string
		if answer, err = fl.Ask("GET", 2*time.Second); err == nil {
			_, name, _ := strings.Cut(answer, " by ")
			out.service = r.serviceOf(name)
		}
	}
	out.err = err
	return out
}

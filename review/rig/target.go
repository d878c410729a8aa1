package main

import (
	"fmt"
	"net/netip"
	"sync"

	"rosedale.dev/rosedale/internal/standin/direct"
)

// target is a stand-in target that renews its registration.
type target struct {
	*direct.Target
	service string
	mu      sync.Mutex // guards the registration
	ended   bool
}

// addTargets starts n targets of a service in each zone.
func (r *rig) addTargets(service string, n int) error {
	for i := range n * len(zones) {
		k := len(r.targets)
		at := netip.AddrPortFrom(r.address(targetNet, k), 8080)
		t, err := direct.NewTarget(r.store, uint64(0xb000000001+k*0x1001), at.String(), service, zones[i%len(zones)], r.port)
		if err != nil {
			return fmt.Errorf("target %d: %w", k, err)
		}
		t.SetWork(workTime)
		x := &target{Target: t, service: service}
		r.targets = append(r.targets, x)
		r.every(targetBeat, x.beat)
	}
	return nil
}

// beat renews the registration.
func (t *target) beat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.Register()
	}
}

func (t *target) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.ended = true
		t.Stop()
	}
}

// serviceOf returns the service of the target with a name, or "".
func (r *rig) serviceOf(name string) string {
	for _, t := range r.targets {
		if t.Name() == name {
			return t.service
		}
	}
	return ""
}

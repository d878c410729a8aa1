package direct

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Route directs the requests for a service address to a service.
type Route struct {
	Address    netip.AddrPort
	Service    string
	AtMostOnce bool // its requests must run at most once
	// Goal is the response time that is aimed at. If it is 0, the catalogue has defaults
	// for it, for Timeout and for Priority.
	Goal     time.Duration
	Timeout  time.Duration // after which callers give up
	Priority int           // 0 is the most urgent
}

// PutCatalogue writes a version of the catalogue to the store, as an operator does.
func (s *Store) PutCatalogue(version int, routes ...Route) {
	var routeEntries, services []map[string]any
	var names []string
	for _, r := range routes {
		kind := "safe"
		if r.AtMostOnce {
			kind = "unsafe"
		}
		if r.Goal == 0 {
			r.Goal, r.Timeout, r.Priority = 150*time.Millisecond, 2500*time.Millisecond, 1
		}
		routeEntries = append(routeEntries, map[string]any{"name": r.Address.String(), "host": r.Address.Addr(), "prefix": fmt.Sprintf("/%d/", r.Address.Port()),
			"type": kind, "timeoutMs": r.Timeout.Milliseconds(), "goalMs": r.Goal.Milliseconds(), "priority": r.Priority, "service": r.Service})
		if !slices.Contains(names, r.Service) {
			names = append(names, r.Service)
			services = append(services, map[string]any{"name": r.Service, "healthPath": "/health"})
		}
	}
	s.Put("op/config", map[string]any{"version": version, "routes": routeEntries, "services": services, "limits": map[string]any{"idleTimeoutMs": 12000}})
}

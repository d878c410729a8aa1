package direct

import (
	"fmt"
	"net/netip"
	"slices"
)

// Route directs the requests for a service address to a service.
type Route struct {
	Address    netip.AddrPort
	Service    string
	AtMostOnce bool // its requests must run at most once
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
		routeEntries = append(routeEntries, map[string]any{"name": r.Address.String(), "host": r.Address.Addr(), "prefix": fmt.Sprintf("/%d/", r.Address.Port()),
			"type": kind, "timeoutMs": 2500, "goalMs": 150, "priority": 1, "service": r.Service})
		if !slices.Contains(names, r.Service) {
			names = append(names, r.Service)
			services = append(services, map[string]any{"name": r.Service, "healthPath": "/health"})
		}
	}
	s.Put("op/config", map[string]any{"version": version, "routes": routeEntries, "services": services, "limits": map[string]any{"idleTimeoutMs": 12000}})
}

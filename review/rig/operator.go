package main

import (
	"fmt"
	"net/netip"
	"time"

	"rosedale.dev/rosedale/platform"
)

// route is a route of the desired state.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Type        string `json:"type"`
	TimeoutMS   int    `json:"timeoutMs"`
	GoalMS      int    `json:"goalMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
}

// operator writes the desired state.
type operator struct {
	rig     *rig
	version int
	routes  []route
}

// routeTo returns a route from a service address.
func routeTo(at netip.AddrPort, service string) route {
	return route{Name: fmt.Sprintf("r-%s-%d", at.Addr(), at.Port()), Host: at.Addr().String(), Prefix: fmt.Sprintf("/%d/", at.Port()),
		Type: "safe", TimeoutMS: 2500, GoalMS: 150, Priority: 2, Service: service, MaxAttempts: 2}
}

// addIdle adds routes that see no traffic.
func (o *operator) addIdle(n int) {
	for range n {
		k := len(o.routes)
		o.routes = append(o.routes, routeTo(netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(k / 200), byte(k%200 + 1)}), 443), "catalogue"))
	}
}

// set adds a route or replaces the one with its address.
func (o *operator) set(x route) {
	for i := range o.routes {
		if o.routes[i].Name == x.Name {
			o.routes[i] = x
			return
		}
	}
	o.routes = append(o.routes, x)
}

// drop removes the route of a service address.
func (o *operator) drop(at netip.AddrPort) {
	name := routeTo(at, "").Name
	for i := range o.routes {
		if o.routes[i].Name == name {
			o.routes = append(o.routes[:i], o.routes[i+1:]...)
			return
		}
	}
}

// write writes the desired state and returns when the store acknowledged it.
func (o *operator) write() time.Time {
	o.version++
	services := []map[string]any{}
	for _, s := range []string{"catalogue", "scan-store"} {
		services = append(services, map[string]any{"name": s, "healthPath": "/health", "maxConns": 2000})
	}
	o.rig.store.Put(platform.CatalogueKey, map[string]any{"version": o.version, "routes": o.routes, "services": services,
		"limits": map[string]any{"idleTimeoutMs": 12000}})
	return time.Now()
}

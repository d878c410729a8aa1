package direct

import (
	"net/netip"
	"time"
)

// Kind says whether a request whose outcome is unknown may be sent again.
type Kind uint8

// The kinds of requests on a route.
const (
	NonIdempotent Kind = iota // must not run twice
	Idempotent                // may be repeated
	Download                  // may be repeated; long answers
)

// Backend is one of the services that share a route's new flows.
type Backend struct {
	Service string
	Weight  int
}

// Route describes where new flows to one service address go.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Backends []Backend
	Kind     Kind
	Timeout  time.Duration // an answer after this time is of no use
	Goal     time.Duration // expected response time
	Priority int           // 0 is the most urgent
}

// Service holds the catalogue's settings for the targets of one service.
type Service struct {
	Name       string
	HealthPath string // URL path of the health check
	MaxConns   int    // open flows per target
	// ColdFor is how long a target warms up after a start or an evacuation. ColdRate is how
	// many requests a second it can serve until then; 0 means no limit.
	ColdFor  time.Duration
	ColdRate float64
}

// Catalogue is one version of the configuration that operators have written.
type Catalogue struct {
	Version  int64
	Routes   map[netip.AddrPort]Route
	Services map[string]Service
	// IdleTimeout is the time without packets after which a flow may be forgotten.
	IdleTimeout time.Duration
}

package target

import (
	"net"
	"net/http"
	"net/netip"
)

// connection identifies a caller's connection to one of a service's addresses.
// The address is part of the key because a caller may use one port for several
// addresses.
type connection struct {
	caller, address netip.AddrPort
}

// connectionOf returns the connection on which a request arrived.
func connectionOf(r *http.Request) connection {
	c := connection{}
	c.caller, _ = netip.ParseAddrPort(r.RemoteAddr)
	if local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		c.address, _ = netip.ParseAddrPort(local.String())
	}
	return c
}

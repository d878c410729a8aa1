package testbed

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
)

// settings returns the text of a balancer's settings file.
func (b *Bed) settings(x *Balancer) string {
	var s strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&s, format+"\n", args...) }
	line("name = %q\ndata_center = %q", x.Name, x.DataCenter)
	if b.Grouped {
		line("group = [%q]", x.DataCenter)
	}
	line("[data]\nlisten = \"%s:%d\"\nworkers = 2", x.IP, dataPort)
	line("[fabric]\naddress = \"127.0.9.1:6081\"\nsources = [\"127.0.9.0/24\"]")
	line("[admin]\nlisten = \"%s\"", x.Admin())
	if b.Single {
		line("[catalogue]\nfolder = %q", b.Examples)
		return s.String()
	}
	line("[control]\nlisten = \"%s:%d\"", x.IP, controlPort)
	platform := Platform
	if b.Proxy {
		platform = b.storeRelayAddr(x.DataCenter).String()
	}
	line("[store]\nurl = \"http://%s\"\nprefix = %q", platform, storePrefix)
	line("[keys]\nca = %q\ncert = %q\nkey = %q", filepath.Join(b.Dir, "ca.pem"),
		filepath.Join(b.Dir, x.Name+".crt"), filepath.Join(b.Dir, x.Name+".key"))
	if !strings.Contains(b.Extra, "[log]") {
		line("[log]\nlevel = \"info\"")
	}
	line("%s", b.Extra)
	for _, o := range b.Balancers {
		if o == x {
			continue
		}
		data, control := netip.AddrPortFrom(o.IP, dataPort), netip.AddrPortFrom(o.IP, controlPort)
		if b.Proxy {
			data, control = b.relayAddr(x, o, dataPort), b.relayAddr(x, o, controlPort)
		}
		line("[[member]]\nname = %q\ndata_center = %q\ndata = \"%s\"\ncontrol = \"%s\"", o.Name, o.DataCenter, data, control)
		if b.Proxy {
			line("source = \"%s\"", o.IP) // source address of its packets until its first record arrives
		}
	}
	return s.String()
}

// Package netstack provides a userspace TCP stack for the stand-ins. It exchanges
// raw IP packets with the stand-in that uses it, which carries them in Geneve
// datagrams, so that unmodified HTTP clients and servers communicate through the
// balancers.
package netstack

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv6"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
)

const (
	nic       = 1    // identifier of the interface
	mtu       = 1400 // bytes
	queueSize = 4096 // packets sent and not yet passed on
)

// Net is a TCP stack with one interface.
type Net struct {
	Stack *stack.Stack
	link  *channel.Endpoint
}

// New returns a stack that owns addrs. It passes the packets that it sends to out
// until ctx ends; out must not keep the slice.
func New(ctx context.Context, addrs []netip.Addr, out func([]byte)) (*Net, error) {
	s := stack.New(stack.Options{
		NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol, ipv6.NewProtocol},
		TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
	})
	n := &Net{Stack: s, link: channel.New(queueSize, mtu, "")}
	if err := s.CreateNIC(nic, n.link); err != nil {
		return nil, errors.Errorf("netstack: create interface: %s", err)
	}
	for _, a := range addrs {
		if err := n.addAddress(a); err != nil {
			return nil, err
		}
	}
	s.SetRouteTable([]tcpip.Route{
		{Destination: header.IPv4EmptySubnet, NIC: nic},
		{Destination: header.IPv6EmptySubnet, NIC: nic},
	})
	go n.forwardOutbound(ctx, out)
	return n, nil
}

func (n *Net) addAddress(a netip.Addr) error {
	pa := tcpip.ProtocolAddress{
		Protocol:          protocol(a),
		AddressWithPrefix: tcpip.AddrFromSlice(a.AsSlice()).WithPrefix(),
	}
	if err := n.Stack.AddProtocolAddress(nic, pa, stack.AddressProperties{}); err != nil {
		return errors.Errorf("netstack: add address %s: %s", a, err)
	}
	return nil
}

func protocol(a netip.Addr) tcpip.NetworkProtocolNumber {
	if a.Is4() {
		return ipv4.ProtocolNumber
	}
	return ipv6.ProtocolNumber
}

// forwardOutbound passes the packets that the stack sends to out until ctx ends.
func (n *Net) forwardOutbound(ctx context.Context, out func([]byte)) {
	for {
		pkt := n.link.ReadContext(ctx)
		if pkt == nil {
			return
		}
		v := pkt.ToView()
		out(v.AsSlice())
		v.Release()
		pkt.DecRef()
	}
}

// Inject passes a copy of a received packet to the stack.
func (n *Net) Inject(b []byte) {
	if len(b) == 0 {
		return
	}
	p := tcpip.NetworkProtocolNumber(ipv4.ProtocolNumber)
	if b[0]>>4 == 6 {
		p = ipv6.ProtocolNumber
	}
	pkt := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(append([]byte(nil), b...))})
	n.link.InjectInbound(p, pkt)
	pkt.DecRef()
}

// Dial opens a TCP connection from one of the stack's addresses to a service address.
// The stack chooses the port.
func (n *Net) Dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	local := tcpip.FullAddress{NIC: nic, Addr: tcpip.AddrFromSlice(from.AsSlice())}
	remote := tcpip.FullAddress{NIC: nic, Addr: tcpip.AddrFromSlice(to.Addr().AsSlice()), Port: to.Port()}
	return gonet.DialTCPWithBind(ctx, n.Stack, local, remote, protocol(to.Addr()))
}

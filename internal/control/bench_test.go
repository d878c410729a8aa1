package control

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/forward"
	"rosedale.dev/rosedale/internal/router"
	"rosedale.dev/rosedale/internal/settings"
)

// benchmarkPublish measures the time from an accepted change until the view is in force,
// with a catalogue of n addresses, two for each service, and ten targets for each service.
func benchmarkPublish(b *testing.B, n int) {
	set := settings.Default()
	set.Name, set.DataCenter = "vault-a-1", "vault-a"
	set.Data.Listen = netip.MustParseAddrPort("127.0.7.20:6081")
	r := router.New(set.Router())
	p, err := forward.New(forward.Config{Listen: set.Data.Listen, Workers: 1}, r, time.Now())
	if err != nil {
		b.Fatal(err)
	}
	defer p.Close()
	l := New(set, zap.NewNop(), r, p, nil, nil)
	var vs []catalogue.Version
	for i := range n / 2 {
		vs = append(vs, catalogue.Version{Name: fmt.Sprint("service-", i), Index: uint64(i + 1), Created: uint64(i + 1), Text: benchEntry(b, i)})
	}
	l.catalogueState.Accept(vs, "", nil)
	for b.Loop() {
		l.publish(time.Second)
	}
}

func benchEntry(b *testing.B, i int) []byte {
	s := catalogue.Service{
		Name: fmt.Sprint("service-", i), Owner: "bench", Number: uint32(i + 1),
		Limits: catalogue.Limits{Slots: 2, Connections: 2000},
	}
	for j := range 2 {
		a := netip.AddrFrom4([4]byte{203, 0, byte(i >> 8), byte(i)})
		s.Addresses = append(s.Addresses, catalogue.Address{Address: netip.AddrPortFrom(a, uint16(80+j)), Class: catalogue.Stream})
	}
	for j := range 10 {
		k := i*10 + j
		a := netip.AddrFrom4([4]byte{127, 10, byte(k >> 8), byte(k)})
		s.Targets = append(s.Targets, catalogue.Target{Address: a, DataCenter: "vault-a", State: catalogue.Active})
	}
	text, err := catalogue.Encode(&s)
	if err != nil {
		b.Fatal(err)
	}
	return text
}

func BenchmarkPublish20(b *testing.B)   { benchmarkPublish(b, 20) }
func BenchmarkPublish200(b *testing.B)  { benchmarkPublish(b, 200) }
func BenchmarkPublish1300(b *testing.B) { benchmarkPublish(b, 1300) }

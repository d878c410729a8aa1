package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/direct"
	standin "rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// Callers take all places of a service at a balancer that is alone. A further opening has to be
// held and, once a place is free, forwarded with its bytes intact, so that its caller gets an
// answer. The log has to show its wait, and the counters the service and priority.
func TestOpeningIsHeldAndForwarded(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b := d.balancers[0]
	d.store.Put(platform.CatalogueKey, withGoal(desiredState(2, previews, scans), 2*time.Second)) // places are kept for as long
	const places = 4 * direct.RequestsPerSlot                                                     // at two targets of two slots
	d.eventually(3*time.Second, "the balancer knows that it is alone", func() bool {
		s := b.adminStatus(t)
		for _, g := range s.Gates {
			if s.Version == 2 && g.Service == "catalogue" && len(g.Pools) > 0 && g.Pools[0].Share == places {
				return true
			}
		}
		return false
	})
	var flows []*standin.Flow
	for range places {
		fl, err := d.caller.Open(previews, b.boot.Data)
		if err != nil {
			t.Fatal(err)
		}
		flows = append(flows, fl)
	}
	got := make(chan error, 1)
	go func() {
		name, err := d.ask(b, previews)
		if err == nil && name == "" {
			err = fmt.Errorf("empty answer")
		}
		got <- err
	}()
	held := "rosedale_packets_held_opening 1"
	d.eventually(time.Second, held, func() bool { return strings.Contains(metricsPage(t, b), held) })
	select {
	case err := <-got:
		t.Fatalf("answered without a place: %v", err)
	default:
	}
	flows[0].Close()
	if err := <-got; err != nil {
		t.Fatalf("held opening: %v", err)
	}
	waited := 0
	for _, l := range b.lines(t, "flow") {
		if s, ok := l["waited"].(float64); ok && s > 0 {
			waited++
		}
	}
	if waited != 1 {
		t.Errorf("%d lines with a wait\n%s", waited, b.out)
	}
	for _, want := range []string{"rosedale_admission_queued_catalogue_p1 1", "rosedale_admission_waiting_catalogue 0", "rosedale_packets_held 0"} {
		d.eventually(3*time.Second, want, func() bool { return strings.Contains(metricsPage(t, b), want) })
	}
}

// The store of held packets is bounded by their number and size, an opening replaces an earlier
// one of its flow, and what is removed is accounted for.
func TestHeldPacketsAreBounded(t *testing.T) {
	var h heldPackets
	seg := func(i int, flags direct.Flags) *direct.Segment {
		return &direct.Segment{Caller: scans, Address: previews, Seq: uint32(i), Flags: flags}
	}
	if !h.add(seg(1, direct.SYN), []byte("first")) || !h.add(seg(2, direct.SYN), []byte("second")) {
		t.Fatal("an opening did not fit")
	}
	if h.count != 1 || h.bytes != len("second") {
		t.Errorf("%d packets, %d bytes", h.count, h.bytes)
	}
	for h.add(seg(3, direct.ACK), make([]byte, 1200)) {
	}
	if h.bytes > maxHeldBytes || h.bytes < maxHeldBytes-1200 {
		t.Errorf("%d bytes are held", h.bytes)
	}
	if list := h.remove(seg(0, 0).Flow()); string(list[0]) != "second" || h.count != 0 || h.bytes != 0 {
		t.Errorf("%d packets and %d bytes are left", h.count, h.bytes)
	}
	for h.add(seg(4, direct.ACK), nil) {
	}
	if h.count != maxHeld {
		t.Errorf("%d packets are held", h.count)
	}
}

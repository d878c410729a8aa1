package direct

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"
)

// testPort is the port at which the tests' caller receives packets.
const testPort = 18599

// opening is the caller's opening of the tests' flow.
var opening = header{seq: 100, src: netip.MustParseAddrPort("127.88.1.1:2000"), dst: netip.MustParseAddrPort("198.18.0.1:443"), syn: true}

// bareTarget is a target without balancers: the test passes packets to it and reads
// its answers.
type bareTarget struct {
	*Target
	t       *testing.T
	answers *net.UDPConn
}

func newBareTarget(t *testing.T) bareTarget {
	t.Helper()
	s, err := NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	answers, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(opening.src.Addr(), testPort)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = answers.Close() })
	x, err := NewTarget(s, 0xb000000001, "127.88.1.2:18080", "catalogue", "a", testPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Stop)
	x.Log = &RunLog{}
	return bareTarget{x, t, answers}
}

// exchange passes a packet to the target and returns its answer.
func (b bareTarget) exchange(h header, body string) (header, string) {
	b.t.Helper()
	b.handlePacket(h, body)
	buf := make([]byte, 2048)
	_ = b.answers.SetReadDeadline(time.Now().Add(2 * time.Second))
	n, err := b.answers.Read(buf)
	if err != nil {
		b.t.Fatal(err)
	}
	answer, text, ok := parsePacket(buf[:n])
	if !ok {
		b.t.Fatal("answer cannot be parsed")
	}
	return answer, string(text)
}

// request is a caller's request on a flow that the target accepted.
func request(accept header) header {
	return header{seq: opening.seq + 1, ack: accept.seq + 1, src: opening.src, dst: opening.dst, hasAck: true}
}

// Guards against a target that starts the flow again on a late copy of its opening, and
// so executes the flow's first request again when it is retransmitted.
func TestLateCopyOfAnOpeningChangesNoFlow(t *testing.T) {
	x := newBareTarget(t)
	accept, _ := x.exchange(opening, "")
	x.exchange(request(accept), "note")
	if again, _ := x.exchange(opening, ""); again.seq != accept.seq {
		t.Errorf("initial sequence numbers %d and %d in the answers to copies of one opening, want the same", accept.seq, again.seq)
	}
	x.handlePacket(request(accept), "note")
	if runs := x.Log.Repeated(); len(runs) > 0 {
		t.Errorf("requests that ran more than once: %v", runs)
	}
}

// Guards against a restarted target that opens a flow on a late copy of the opening,
// and then executes a request meant for its previous start.
func TestNextStartTakesNoRequestOfTheLast(t *testing.T) {
	x := newBareTarget(t)
	accept, _ := x.exchange(opening, "")
	x.exchange(request(accept), "note")
	x.Stop()
	if err := x.Restart(2); err != nil {
		t.Fatal(err)
	}
	if x.OpenedInThisStart(accept.seq) {
		t.Error("the restarted target reports a flow of its previous start as its own")
	}
	if again, _ := x.exchange(opening, ""); again.seq == accept.seq {
		t.Fatal("both starts answered an opening with the same initial sequence number")
	}
	if answer, _ := x.exchange(request(accept), "note"); !answer.rst {
		t.Errorf("answer %+v, want a reset", answer)
	}
	if runs := x.Log.Repeated(); len(runs) > 0 {
		t.Errorf("requests that ran more than once: %v", runs)
	}
}

// Guards against a target that runs more than its slots and its queue hold, or that runs a
// request after it has answered that it did not.
func TestRequestsBeyondTheQueueAreNotRun(t *testing.T) {
	x := newBareTarget(t)
	x.LimitSlots()
	x.SetWork(300 * time.Millisecond) // longer than maxNotRunDelay
	fits := x.Reg.Slots + queueLength
	var h header
	for i := range fits + 1 {
		o := opening
		o.src = netip.AddrPortFrom(o.src.Addr(), uint16(2000+i))
		accept, _ := x.exchange(o, "")
		h = request(accept)
		h.src = o.src
		if i < fits {
			x.handlePacket(h, fmt.Sprint("note", i))
		}
	}
	if _, answer := x.exchange(h, "excess"); answer != notRun {
		t.Errorf("answer %q to the request beyond the queue, want %q", answer, notRun)
	}
	if n := x.Ran.Load(); n > int64(x.Reg.Slots) {
		t.Errorf("%d requests run at a time, want at most %d", n, x.Reg.Slots)
	}
	for end := time.Now().Add(5 * time.Second); x.IdleTime() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("target does not become idle")
		}
	}
	if n := x.Ran.Load(); n != int64(fits) || x.Log.Has("excess") {
		t.Errorf("%d requests have run, want %d without the one beyond the queue", n, fits)
	}
}

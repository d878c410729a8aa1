package direct

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

const testPort = 18599

// opening is a caller's opening of the flow that the tests use.
var opening = head{seq: 100, src: netip.MustParseAddrPort("127.88.1.1:2000"), dst: netip.MustParseAddrPort("198.18.0.1:443"), syn: true}

// bareTarget is a target whose answers a test reads.
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

// exchange hands a packet to the target and returns its answer.
func (b bareTarget) exchange(h head, body string) (head, string) {
	b.t.Helper()
	b.handle(h, body)
	buf := make([]byte, 2048)
	_ = b.answers.SetReadDeadline(time.Now().Add(2 * time.Second))
	n, err := b.answers.Read(buf)
	if err != nil {
		b.t.Fatal(err)
	}
	answer, text, ok := parse(buf[:n])
	if !ok {
		b.t.Fatal("unreadable answer")
	}
	return answer, string(text)
}

// request is a caller's request on a flow that the target accepted.
func request(accept head) head {
	return head{seq: opening.seq + 1, ack: accept.seq + 1, src: opening.src, dst: opening.dst, ackOn: true}
}

// A late copy of an opening makes a target forget that it ran the flow's first request.
func TestLateCopyOfAnOpeningChangesNoFlow(t *testing.T) {
	x := newBareTarget(t)
	accept, _ := x.exchange(opening, "")
	x.exchange(request(accept), "note")
	if again, _ := x.exchange(opening, ""); again.seq != accept.seq {
		t.Errorf("answers %d and %d to copies of one opening", accept.seq, again.seq)
	}
	x.handle(request(accept), "note")
	if runs := x.Log.Repeated(); len(runs) > 0 {
		t.Errorf("ran more than once: %v", runs)
	}
}

// A late copy of an opening has a target's next start take a request meant for the last one.
func TestNextStartTakesNoRequestOfTheLast(t *testing.T) {
	x := newBareTarget(t)
	accept, _ := x.exchange(opening, "")
	x.exchange(request(accept), "note")
	x.Stop()
	if err := x.Restart(2); err != nil {
		t.Fatal(err)
	}
	if x.Holds(accept.seq) {
		t.Error("the next start holds a flow of the last one")
	}
	if again, _ := x.exchange(opening, ""); again.seq == accept.seq {
		t.Fatal("both starts answered an opening with the same number")
	}
	if answer, _ := x.exchange(request(accept), "note"); !answer.rst {
		t.Errorf("answer %+v, want a reset", answer)
	}
	if runs := x.Log.Repeated(); len(runs) > 0 {
		t.Errorf("ran more than once: %v", runs)
	}
}

package direct

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Registration is a target's entry in the store.
type Registration struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`          // number of requests that it works on at a time
	State    string `json:"state"`          // "ready" or "draining"
	ColdLeft int    `json:"coldLeftMs"`     // remaining time of its slow start in ms
	Sequence int    `json:"sequence"`       // number of its writes since its start
	Born     int64  `json:"born,omitempty"` // Unix time of its start in ms; 0 if it is not reported
}

// Target is a stand-in target. It answers each request with the request's body and
// its own name.
type Target struct {
	ID                 uint64
	Reg                Registration
	Opened             atomic.Int64 // openings answered, copies included
	Ran                atomic.Int64 // requests executed
	UnknownFlowPackets atomic.Int64 // packets of unknown flows, which it answers with a reset
	// Log records each execution of a request; nil disables it.
	Log      *RunLog
	silent   atomic.Bool
	workTime atomic.Int64 // duration of a request in ns

	udp        *net.UDPConn
	tcp        net.Listener
	srv        *http.Server
	store      *Store
	callerPort uint16 // port at every caller's address at which the caller receives packets

	mu    sync.Mutex
	start uint32                            // number of the present start
	flows map[[2]netip.AddrPort]*targetFlow // by caller and service address; nil after Stop
	slots *slots                            // of the present start; nil if requests are not limited
}

// NewTarget starts a target at addr, registers it in the store and sends its answers
// to callerPort at the caller's address.
func NewTarget(s *Store, id uint64, addr string, service, dataCenter string, callerPort uint16) (*Target, error) {
	t := &Target{ID: id, store: s, callerPort: callerPort}
	t.SetWork(time.Millisecond)
	if err := t.listen(addr); err != nil {
		return nil, err
	}
	t.Reg = Registration{Service: service, Address: t.udp.LocalAddr().String(), Zone: dataCenter, Version: "v1", Slots: 2, State: "ready"}
	t.Register()
	return t, nil
}

// listen opens the sockets for a new start of the target, which begins without flows.
func (t *Target) listen(addr string) error {
	a, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return err
	}
	udp, err := net.ListenUDP("udp4", a)
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp4", udp.LocalAddr().String())
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(t.health), ReadHeaderTimeout: time.Second}
	t.mu.Lock()
	t.udp, t.tcp, t.srv, t.flows = udp, tcp, srv, map[[2]netip.AddrPort]*targetFlow{}
	t.start++
	if t.slots != nil {
		t.slots = newSlots(t.Reg.Slots)
	}
	t.mu.Unlock()
	go func() { _ = srv.Serve(tcp) }() // returns after Stop
	go t.serve(udp)
	return nil
}

// Restart starts a stopped target again with the same identifier and address. It
// registers born as the time of its start, in Unix ms, which may be before the time of
// the previous start.
func (t *Target) Restart(born int64) error {
	t.silent.Store(false)
	t.Reg.Sequence, t.Reg.State, t.Reg.Born = 0, "ready", born // set before a request can run
	if err := t.listen(t.Reg.Address); err != nil {
		return err
	}
	t.Register()
	return nil
}

// Name returns the target's name in the store.
func (t *Target) Name() string { return fmt.Sprintf("i-%010x", t.ID) }

// Register writes the target's registration with the next sequence number, as each
// heartbeat of a target does.
func (t *Target) Register() {
	t.Reg.Sequence++
	t.store.Put("servers/"+t.Name(), t.Reg)
}

// Drain sets the target's state to draining and registers it.
func (t *Target) Drain() {
	t.Reg.State = "draining"
	t.Register()
}

// SetWork sets the duration of a request.
func (t *Target) SetWork(d time.Duration) { t.workTime.Store(int64(d)) }

// Silence stops the target from answering, health checks included, as if it had lost
// power.
func (t *Target) Silence() { t.silent.Store(true) }

// Stop closes the target's sockets, so that its address refuses connections, and
// discards its flows.
func (t *Target) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flows = nil
	_ = t.udp.Close()
	_ = t.tcp.Close() // the server may not have taken the listener over yet
	_ = t.srv.Close()
}

// StopListening closes the socket for connections, which are refused from then on. The target
// goes on working on the requests that it has, as one that exits does.
func (t *Target) StopListening() {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.tcp.Close()
	_ = t.srv.Close()
}

// Leave stops the target and then removes its registration.
func (t *Target) Leave() {
	t.Stop()
	t.store.Remove("servers/" + t.Name())
}

func (t *Target) health(w http.ResponseWriter, r *http.Request) {
	if t.silent.Load() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Endpoint-Id", t.Name())
}

func (t *Target) serve(udp *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, err := udp.Read(buf)
		if err != nil {
			return
		}
		// The target's identifier precedes the packet; 0 addresses any target.
		if n < 8 || t.silent.Load() {
			continue
		}
		if id := binary.BigEndian.Uint64(buf); id != 0 && id != t.ID {
			continue
		}
		if h, body, ok := parsePacket(buf[8:n]); ok {
			t.handlePacket(h, string(body))
		}
	}
}

func (t *Target) handlePacket(h header, body string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flows == nil {
		return // the target has stopped
	}
	key := [2]netip.AddrPort{h.src, h.dst}
	fl := t.flows[key]
	switch {
	case h.syn:
		t.answerOpening(key, h)
	case h.rst:
		delete(t.flows, key)
	case fl == nil || !fl.accepts(h):
		t.UnknownFlowPackets.Add(1)
		t.send(h, header{seq: h.ack, rst: true}, nil)
	case h.fin:
		delete(t.flows, key)
	case len(body) > 0 && h.seq == fl.nextSeq:
		fl.nextSeq += uint32(len(body))
		if t.slots != nil {
			t.handleLimited(h, fl, body)
			return
		}
		t.recordRun(body)
		go t.execute(h, fl, body)
	}
}

// recordRun counts and logs that a request begins to run. t.mu is held.
func (t *Target) recordRun(body string) {
	t.Ran.Add(1)
	if t.Log != nil {
		t.Log.add(body, t)
	}
}

// answerOpening answers an opening. A further copy of it gets the same answer and
// leaves the flow as it is.
func (t *Target) answerOpening(key [2]netip.AddrPort, h header) {
	t.Opened.Add(1)
	fl := t.flows[key]
	if fl == nil || fl.opening != h.seq {
		fl = newTargetFlow(t.start, h.seq)
		t.flows[key] = fl
	}
	t.send(h, header{seq: fl.isn, ack: h.seq + 1, syn: true, hasAck: true}, nil)
}

// OpenedInThisStart reports whether the target is running and a flow with the given initial
// sequence number (ISN) of the target was opened in its present start, not in an earlier one.
func (t *Target) OpenedInThisStart(isn uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.flows != nil && isFromStart(t.start, isn)
}

// execute waits for the duration of a request and answers it once.
func (t *Target) execute(h header, fl *targetFlow, body string) {
	time.Sleep(time.Duration(t.workTime.Load()))
	t.answer(h, fl, strings.TrimSpace(body)+" by "+t.Name())
}

// answer sends the answer to a request, if its flow is still open.
func (t *Target) answer(h header, fl *targetFlow, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flows == nil || t.flows[[2]netip.AddrPort{h.src, h.dst}] != fl {
		return // the flow has ended or the target has stopped
	}
	t.send(h, header{seq: fl.sendSeq, ack: fl.nextSeq, hasAck: true}, []byte(text))
	fl.sendSeq += uint32(len(text))
}

// send sends a packet in answer to one with the header received.
func (t *Target) send(received, h header, body []byte) {
	h.src, h.dst, h.echo = received.dst, received.src, received.echo
	_, _ = t.udp.WriteToUDPAddrPort(h.encode(body), netip.AddrPortFrom(received.src.Addr(), t.callerPort)) // packet loss is part of the protocol
}

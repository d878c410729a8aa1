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
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft int    `json:"coldLeftMs"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born,omitempty"` // Unix ms of its start; 0 if it does not tell
}

// Target is a stand-in target: it answers each request with its name.
type Target struct {
	ID      uint64
	Reg     Registration
	Opened  atomic.Int64 // openings that it answered
	Ran     atomic.Int64 // requests that it worked on
	Foreign atomic.Int64 // packets of flows that it does not hold
	// Log takes each run of a request; nil for no record.
	Log    *RunLog
	silent atomic.Bool
	pace   atomic.Int64 // time that a request takes

	udp   *net.UDPConn
	tcp   net.Listener
	srv   *http.Server
	store *Store
	reply uint16 // the port at which callers are reached

	mu    sync.Mutex
	start uint32 // number of this start
	flows map[[2]netip.AddrPort]*targetFlow
}

// NewTarget starts a target at addr and registers it.
func NewTarget(s *Store, id uint64, addr string, service, centre string, reply uint16) (*Target, error) {
	t := &Target{ID: id, store: s, reply: reply}
	t.SetWork(time.Millisecond)
	if err := t.listen(addr); err != nil {
		return nil, err
	}
	t.Reg = Registration{Service: service, Address: t.udp.LocalAddr().String(), Zone: centre, Version: "v1", Slots: 2, State: "ready"}
	t.Register()
	return t, nil
}

// listen begins a start of the target, which holds no flow.
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
	t.mu.Unlock()
	go func() { _ = srv.Serve(tcp) }() // it ends with Stop
	go t.serve(udp)
	return nil
}

// Restart starts a target that was stopped again, under its identifier and at its
// address. It says that it was born at a time, in Unix ms, which may be before that of
// its last start.
func (t *Target) Restart(born int64) error {
	t.silent.Store(false)
	t.Reg.Sequence, t.Reg.State, t.Reg.Born = 0, "ready", born // before a request can run
	if err := t.listen(t.Reg.Address); err != nil {
		return err
	}
	t.Register()
	return nil
}

// Name is the target's name in the store.
func (t *Target) Name() string { return fmt.Sprintf("i-%010x", t.ID) }

// Register writes the target's entry, as each heartbeat does.
func (t *Target) Register() {
	t.Reg.Sequence++
	t.store.Put("servers/"+t.Name(), t.Reg)
}

// Drain announces that the target will leave.
func (t *Target) Drain() {
	t.Reg.State = "draining"
	t.Register()
}

// SetWork sets how long a request takes.
func (t *Target) SetWork(d time.Duration) { t.pace.Store(int64(d)) }

// Silence makes the target answer nothing any more, as if it had lost power.
func (t *Target) Silence() { t.silent.Store(true) }

// Stop ends the target: its address refuses connections.
func (t *Target) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flows = nil
	_ = t.udp.Close()
	_ = t.tcp.Close() // the server may not have got it yet
	_ = t.srv.Close()
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
		if n < 8 || t.silent.Load() {
			continue
		}
		if id := binary.BigEndian.Uint64(buf); id != 0 && id != t.ID {
			continue
		}
		if h, body, ok := parse(buf[8:n]); ok {
			t.handle(h, string(body))
		}
	}
}

func (t *Target) handle(h head, body string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flows == nil {
		return // it has stopped
	}
	key := [2]netip.AddrPort{h.src, h.dst}
	fl := t.flows[key]
	switch {
	case h.syn:
		t.open(key, h)
	case h.rst:
		delete(t.flows, key)
	case fl == nil || !fl.accepts(h):
		t.Foreign.Add(1)
		t.send(h, head{seq: h.ack, rst: true}, nil)
	case h.fin:
		delete(t.flows, key)
	case len(body) > 0 && h.seq == fl.next:
		fl.next += uint32(len(body))
		t.Ran.Add(1)
		if t.Log != nil {
			t.Log.add(body, t)
		}
		go t.work(h, fl, body)
	}
}

// open answers an opening. A further copy of it gets the same answer.
func (t *Target) open(key [2]netip.AddrPort, h head) {
	t.Opened.Add(1)
	fl := t.flows[key]
	if fl == nil || fl.opening != h.seq {
		fl = newTargetFlow(t.start, h.seq)
		t.flows[key] = fl
	}
	t.send(h, head{seq: fl.initial, ack: h.seq + 1, syn: true, ackOn: true}, nil)
}

// Holds reports whether a flow with this initial number of the target's was opened at its
// present start, and not at one before.
func (t *Target) Holds(initial uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.flows != nil && ofStart(t.start, initial)
}

// work answers a request once.
func (t *Target) work(h head, fl *targetFlow, body string) {
	time.Sleep(time.Duration(t.pace.Load()))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flows == nil || t.flows[[2]netip.AddrPort{h.src, h.dst}] != fl {
		return // the flow or this start of the target has ended
	}
	answer := []byte(strings.TrimSpace(body) + " by " + t.Name())
	t.send(h, head{seq: fl.sent, ack: fl.next, ackOn: true}, answer)
	fl.sent += uint32(len(answer))
}

func (t *Target) send(to, h head, body []byte) {
	h.src, h.dst, h.echo = to.dst, to.src, to.echo
	_, _ = t.udp.WriteToUDPAddrPort(h.encode(body), netip.AddrPortFrom(to.src.Addr(), t.reply)) // lost packets are part of the protocol
}

// Command driver plays the case of review/4: the store turns some machines away while these are
// restarted in turn, and the operator changes the desired state.
package main

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"

	"rosedale.dev/rosedale/review/rig2"
)

const (
	apply = 3 * time.Second // within which a version has to be in force
	// watched is how long after the change the machines are probed.
	watched = 9 * time.Second
	work    = "20ms"
)

var (
	kept    = netip.MustParseAddrPort("127.198.0.1:443")
	dropped = netip.MustParseAddrPort("127.198.0.2:443")
	added   = netip.MustParseAddrPort("127.198.0.3:443")
)

var zones = []string{"a", "b", "c"}

func main() {
	broken, err := play(os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func play(trouble bool) (broken bool, err error) {
	r, err := rig2.NewRecord(os.Args[1])
	if err != nil {
		return false, err
	}
	defer r.Close()
	d, err := rig2.NewDeployment(r, rig2.Bounds{DrainMS: 3000, ConfigMS: int(apply.Milliseconds()), HeartbeatMS: 1200}, zones...)
	if err != nil {
		return false, err
	}
	defer d.Close()
	configure(d, 3, kept, dropped)
	for i := range 2 * len(zones) {
		z := i % len(zones)
		e, err := rig2.NewEndpoint(r, d.Store, uint64(0x3df7fc1000+i), d.EndpointAddr(z, i), "desk", zones[z], 3, rig2.DataPort, 1200*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer e.Close()
	}
	if err := d.StartBalancers(3); err != nil {
		return false, err
	}
	q, err := rig2.NewRequester(r, d.Router, zones[0], d.RequesterAddr(0, 0))
	if err != nil {
		return false, err
	}
	defer q.Close()
	time.Sleep(6 * time.Second)

	// The first of each zone: three of nine machines.
	var away, calm []*rig2.Balancer
	for i, b := range d.Balancers() {
		if i%3 == 0 {
			away = append(away, b)
		} else {
			calm = append(calm, b)
		}
	}
	away = append(away[1:], away[0]) // the reader of the store is restarted last
	var planned sync.WaitGroup
	planned.Add(1)
	go func() {
		defer planned.Done()
		for _, b := range away {
			if err := d.Replace(b); err != nil {
				r.Say("%s not started: %v", b.Name, err)
			}
		}
	}()
	time.Sleep(600 * time.Millisecond)
	if trouble {
		for _, b := range away {
			b.Door.Refuse(true)
			r.Add("the store turns %s away", b.Name)
		}
	}
	time.Sleep(100 * time.Millisecond)
	configure(d, 4, kept, added)
	acked := time.Now()
	r.Say("version 4 is acknowledged: it drops %v and adds %v", dropped, added)

	late := time.Duration(0)
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, b := range calm {
		all.Add(1)
		go func() {
			defer all.Done()
			l := probe(r, q, b, acked)
			mu.Lock()
			defer mu.Unlock()
			late = max(late, l)
		}()
	}
	all.Wait()
	planned.Wait()
	if late == 0 {
		r.Say("no machine in touch went by version 3 later than %v after the ack of version 4", apply)
		return false, nil
	}
	r.Say("a machine in touch went by version 3 until %v after the ack of version 4 (bound %v)", late.Round(time.Millisecond), apply)
	return true, nil
}

func configure(d *rig2.Deployment, version int, addresses ...netip.AddrPort) {
	var routes []rig2.Route
	for i, a := range addresses {
		routes = append(routes, rig2.Route{Name: fmt.Sprintf("r-%d", i), Address: a, Type: "unsafe", Service: "desk",
			TimeOut: 2500 * time.Millisecond, Goal: 250 * time.Millisecond, Priority: 1})
	}
	d.Configure(version, []rig2.Service{{Name: "desk"}}, routes)
}

// probe sends requests directly to a balancer, on the routes that the change dropped and added. It
// returns when, after the ack and beyond the bound, the last was sent that was handled as only
// version 3 allows; 0 if none was.
func probe(r *rig2.Record, q *rig2.Requester, b *rig2.Balancer, acked time.Time) (late time.Duration) {
	for time.Since(acked) < watched {
		sent := time.Since(acked)
		ran := ask(r, q, b, dropped)
		refused := !ask(r, q, b, added)
		if sent > apply && (ran || refused) {
			late = sent
		}
		time.Sleep(100 * time.Millisecond)
	}
	return late
}

// ask sends a request on a new flow and reports whether it was run.
func ask(r *rig2.Record, q *rig2.Requester, b *rig2.Balancer, route netip.AddrPort) bool {
	fl, err := q.OpenVia(route, b.Data)
	if err != nil {
		fl.Close()
		r.Add("%s by %s to %v: %v", fl.Local, b.Name, route, err)
		return !errors.Is(err, rig2.ErrReset) && route == added // silence counts for neither
	}
	defer fl.Close()
	answer, _, err := fl.Ask(fmt.Sprintf("probe-%v %s", fl.Local, work), time.Second)
	r.Add("%s by %s to %v: %q, %v", fl.Local, b.Name, route, answer, err)
	return err == nil
}

package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/store"
	"rosedale.dev/rosedale/internal/testbed"
)

const (
	inForceLimit = 10 * time.Second
	inForcePoll  = 5 * time.Millisecond
)

// Edit writes an entry and records in o how long each running balancer takes
// until the entry is in force. It returns an error if any takes more than inForceLimit.
func Edit(bed *testbed.Bed, s *catalogue.Service, o *Outcome) error {
	began := time.Now()
	if err := bed.PutService(s); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), inForceLimit)
	defer cancel()
	p, err := bed.Store.Get(ctx, store.ServiceKey("rosedale", s.Name))
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	late := 0
	for _, x := range bed.Balancers {
		if !x.Process.Running() {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			d, ok := waitVersion(bed, x, s.Name, p.Index, began)
			mu.Lock()
			defer mu.Unlock()
			o.InForce = append(o.InForce, d)
			if !ok {
				late++
			}
		}()
	}
	wg.Wait()
	if late > 0 {
		return errors.Errorf("experiment: %d balancers did not apply the change within %v", late, inForceLimit)
	}
	return nil
}

// waitVersion waits until a balancer has an entry in force that is at least as new as
// index. It returns the time since began, and false after inForceLimit.
func waitVersion(bed *testbed.Bed, x *testbed.Balancer, name string, index uint64, began time.Time) (time.Duration, bool) {
	for {
		st, err := bed.Status(x)
		took := time.Since(began)
		if err == nil && st.Catalogue.Versions[name] >= index {
			return took, true
		}
		if took > inForceLimit {
			return took, false
		}
		time.Sleep(inForcePoll)
	}
}

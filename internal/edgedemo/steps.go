package edgedemo

import (
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

const (
	// stepLength is the least duration of a step, and settleTime the least time between
	// the end of its action and the next step.
	stepLength = 6 * time.Second
	settleTime = time.Second
	// propagationLimit is the time within which every balancer must apply what an operator
	// wrote.
	propagationLimit = 3 * time.Second
)

// step is one event of the demo, during which callers send requests.
type step struct {
	name    string
	planned bool // it must not reset any open flow
	action  func(*deployment) error
}

var steps = []step{
	{"nothing", true, func(*deployment) error { return nil }},
	{"replace all balancers", true, replaceAllBalancers},
	{"edit the catalogue", true, editCatalogue},
	{"evacuate a data centre", true, evacuate},
	{"take it back", true, endEvacuation},
	{"kill a balancer", false, func(d *deployment) error { return d.balancers[1].crash(time.Second) }},
	{"a target goes dark", false, silenceTarget},
}

func replaceAllBalancers(d *deployment) error {
	for _, b := range d.balancers {
		if err := b.replace(); err != nil {
			return err
		}
		if err := d.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// editCatalogue adds a route and checks that every balancer serves it after
// propagationLimit.
func editCatalogue(d *deployment) error {
	d.writeCatalogue(previews, notes, added)
	time.Sleep(propagationLimit)
	from, err := direct.NewCaller(address(callerNet, callersPerDataCenter*len(dataCenters)), dataPort)
	if err != nil {
		return errors.Wrap(err, "demo: caller")
	}
	defer from.Close()
	for _, b := range d.balancers {
		if err := checkRoute(from, b); err != nil {
			return err
		}
	}
	return nil
}

// evacuate marks a data centre as evacuated and checks that its targets get no new flows
// after propagationLimit.
func evacuate(d *deployment) error {
	d.store.Put(platform.EvacuationPrefix+dataCenters[0], map[string]any{})
	time.Sleep(propagationLimit)
	before := d.answeredOpenings(dataCenters[0])
	time.Sleep(settleTime)
	if n := d.answeredOpenings(dataCenters[0]) - before; n > 0 {
		return errors.Errorf("%d flows were opened in the evacuated data centre", n)
	}
	return nil
}

// endEvacuation removes the evacuation mark and checks that the data centre's targets get
// new flows again within propagationLimit.
func endEvacuation(d *deployment) error {
	d.store.Remove(platform.EvacuationPrefix + dataCenters[0])
	before := d.answeredOpenings(dataCenters[0])
	time.Sleep(propagationLimit)
	if d.answeredOpenings(dataCenters[0]) == before {
		return errors.New("no flow was opened in the data centre after the end of its evacuation")
	}
	return nil
}

// silenceTarget stops a target from answering, as if it had lost power. Its registration
// is removed after propagationLimit, as if it had expired.
func silenceTarget(d *deployment) error {
	t := d.targets[0]
	t.Silence()
	time.Sleep(propagationLimit)
	d.store.Remove(platform.TargetPrefix + t.Name())
	return nil
}

package edge

import (
	"encoding/base64"
	"math/rand/v2"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// slowPeers is a speed, in bytes per second, at which an answer with a state of
// incompressibleState takes some 2.5 s.
const slowPeers = 300_000

// incompressibleState returns a desired state that is 0.75 MB when it is packed.
func incompressibleState(version int) map[string]any {
	noise := make([]byte, 750_000)
	for i := range noise {
		noise[i] = byte(rand.Uint32())
	}
	s := desiredState(version, scans, newRoute)
	s["note"] = base64.StdEncoding.EncodeToString(noise)
	return s
}

// The store turns a balancer away, and the link from its peers is so slow that an answer with a
// large catalogue takes longer than a request may last. Each request would end before its answer.
func TestSlowAnswerOfAPeerArrives(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	last := d.balancers[1]
	last.link.Refuse(true)
	for _, b := range d.balancers {
		b.slow(slowPeers)
	}
	d.store.Put(platform.CatalogueKey, incompressibleState(9))
	d.eventually(10*time.Second, "the last version is in force", func() bool { return last.adminStatus(t).Version == 9 })
}

// The store is silent while a balancer starts, and the link from its seeds is slow. The first copy
// must arrive.
func TestSlowFirstCopyArrives(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.store.Put(platform.CatalogueKey, incompressibleState(9))
	d.eventually(3*time.Second, "the version is in force", func() bool { return d.balancers[0].adminStatus(t).Version == 9 })
	d.balancers[0].slow(slowPeers)
	d.store.FailAll(direct.Silent)
	b := d.start(d.balancers[0].boot.Data.Addr().Next())
	d.eventually(10*time.Second, "the balancer is ready without the store", b.isReady)
	d.store.FailAll(direct.Healthy)
}

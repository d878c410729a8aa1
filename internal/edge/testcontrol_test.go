package edge

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/internal/revision"
	"rosedale.dev/rosedale/platform"
)

// at returns a revision of a store that does not report eras.
func at(number int64) revision.Revision { return revision.Revision{Number: number} }

// newTestControl returns the control state of balancer a1 of data centre a, without
// sockets, for tests of single decisions.
func newTestControl(t testing.TB) *control {
	t.Helper()
	e := &Edge{boot: platform.Boot{VM: "a1", DataCenter: "a"}, start: time.Now(), ready: &ready{}}
	log, err := logging.New(&output{}, "info", e.boot.VM, e.boot.DataCenter)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(log.Close)
	return &control{edge: e, log: log, fleet: peer.NewFleet(e.member()), peers: map[string]*peerState{},
		replica: replica.New(platform.Significant), readDone: replica.Never}
}

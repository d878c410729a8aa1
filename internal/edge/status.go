package edge

import (
	"cmp"
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/direct"
)

// Status is the state of a balancer as shown to operators. Durations are encoded in
// nanoseconds.
type Status struct {
	VM          string                  `json:"vm"`
	DataCenter  string                  `json:"data_center"`
	Up          time.Duration           `json:"up"` // time since the start
	Ready       bool                    `json:"ready"`
	Leaving     bool                    `json:"leaving"`
	SteppedBack string                  `json:"stepped_back"` // why this balancer has stepped back, or "none"
	Version     int64                   `json:"version"`      // of the catalogue in force
	Era         int64                   `json:"era"`          // of the store, for the position
	Position    int64                   `json:"position"`     // of the replica
	Settling    time.Duration           `json:"settling"`     // remaining settling time after a restore of the store
	Age         time.Duration           `json:"age"`          // upper bound of the replica's age
	Reading     bool                    `json:"reading"`      // this balancer reads the store
	StoreLost   bool                    `json:"store_lost"`
	Flows       int                     `json:"flows"`
	Evacuated   []direct.EvacuationInfo `json:"evacuated"`
	Peers       []Peer                  `json:"peers"`
	Targets     []direct.TargetInfo     `json:"targets"`
	Gates       []direct.GateInfo       `json:"gates"` // of the services that have one
}

// Peer is another balancer as seen by this one.
type Peer struct {
	VM         string        `json:"vm"`
	DataCenter string        `json:"data_center"`
	Heard      time.Duration `json:"heard"` // time since the last heartbeat
	Version    int64         `json:"version"`
	Era        int64         `json:"era"`
	Position   int64         `json:"position"`
	Reading    bool          `json:"reading"`
}

// status returns the current Status. It may be called from any goroutine.
func (c *control) status() Status {
	out := make(chan Status, 1)
	c.post(func() { out <- c.snapshot() })
	return <-out
}

func (c *control) snapshot() Status {
	now := c.now()
	s := Status{
		VM: c.edge.boot.VM, DataCenter: c.edge.boot.DataCenter, Up: now,
		Ready: c.edge.ready.isReady(), Leaving: c.leaving, SteppedBack: c.edge.ready.stepBackReason().String(), Version: c.version,
		Era: c.replica.Position().Era, Position: c.replica.Position().Number, Settling: c.settling.Left(now), Age: c.replica.Age(now), Reading: c.reader.Reading(), StoreLost: c.storeLost(),
	}
	for name, p := range c.peers {
		s.Peers = append(s.Peers, Peer{name, p.last.DataCenter, now - p.lastReceived, p.last.Version, p.last.Era, p.last.Position, p.last.Reading})
	}
	slices.SortFunc(s.Peers, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	c.edge.mu.Lock()
	defer c.edge.mu.Unlock()
	s.Flows = c.edge.forward.Flows()
	s.Evacuated = c.edge.forward.Evacuations(now)
	s.Targets = c.edge.forward.Targets(now)
	s.Gates = c.edge.forward.Gates(now)
	return s
}

// Package catalogue defines the operators' configuration of rosedaled: one
// entry per service, parsed and validated once into plain structs, and the
// rule by which newer versions of entries replace older ones.
package catalogue

import (
	"net/netip"
	"time"
)

// Service is one entry of the catalogue.
type Service struct {
	Name   string `toml:"name" json:"name"`
	Owner  string `toml:"owner" json:"owner"`
	Number uint32 `toml:"number" json:"number"` // Geneve VNI, unique in the catalogue
	// BrokenFlowWeight is the weight of broken flows against imbalance, from
	// 0 (only imbalance counts) to 1 (only broken flows count).
	BrokenFlowWeight float64   `toml:"broken_flow_weight" json:"broken_flow_weight"`
	Limits           Limits    `toml:"limits" json:"limits"`
	Addresses        []Address `toml:"address" json:"address"`
	Targets          []Target  `toml:"target" json:"target"`
	// EditID identifies the edit that wrote this version. After a lost
	// response from the store it shows whether the write took effect.
	EditID string `toml:"edit_id,omitempty" json:"edit_id,omitempty"`
}

// Streams reports whether the service has a stream address.
func (s *Service) Streams() bool {
	for _, a := range s.Addresses {
		if a.Class == Stream {
			return true
		}
	}
	return false
}

// Limits bounds the load of each target: concurrent requests (Slots) and stream connections.
type Limits struct {
	Slots       int `toml:"slots" json:"slots"`
	Connections int `toml:"connections" json:"connections"`
}

// Address is a virtual address that callers connect to.
type Address struct {
	Address netip.AddrPort `toml:"address" json:"address"`
	Class   Class          `toml:"class" json:"class"`
	// Idempotent means that a request may be sent to a second target after the first
	// one may have received it.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
	// AdmissionDeadline bounds how long an opening packet may wait for a target
	// with free capacity; zero means the router's default of one second.
	AdmissionDeadline Duration `toml:"admission_deadline" json:"admission_deadline"`
}

// TargetState is the state of a target that operators set.
type TargetState string

const (
	// Active targets get new flows.
	Active TargetState = "active"
	// Draining targets keep their flows and get no new ones.
	Draining TargetState = "draining"
)

// Target is an endpoint of a service.
type Target struct {
	Address    netip.Addr  `toml:"address" json:"address"`
	DataCenter string      `toml:"data_center" json:"data_center"`
	State      TargetState `toml:"state" json:"state"`
	// Health is the URL of the health and load endpoint. Without it,
	// health is derived only from the target's answers to flows.
	Health string `toml:"health,omitempty" json:"health,omitempty"`
}

// Duration is a time.Duration written as text, such as "2s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

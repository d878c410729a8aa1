package catalogue

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

const (
	maxNumber   = 1<<24 - 1   // a Geneve VNI has 24 bits
	maxDeadline = time.Minute // admission deadline of an address
	maxTargets  = 8192        // targets of a service
)

var nameRE = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ValidName reports whether s is a valid service name, which becomes part of a
// key in the store.
func ValidName(s string) bool { return nameRE.MatchString(s) }

// FieldError is the error of an invalid field of an entry.
type FieldError struct {
	Entry, Field, Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("catalogue: entry %q: %s: %s", e.Entry, e.Field, e.Reason)
}

func (s *Service) fieldError(field, format string, args ...any) error {
	return &FieldError{s.Name, field, fmt.Sprintf(format, args...)}
}

// Validate checks s without regard to other entries. Errors are of type *FieldError.
func (s *Service) Validate() error {
	switch {
	case !ValidName(s.Name):
		return s.fieldError("name", "must be 1 to 63 of a-z, 0-9 and -")
	case s.Owner == "":
		return s.fieldError("owner", "is missing")
	case s.Number == 0 || s.Number > maxNumber:
		return s.fieldError("number", "%d is not in 1..%d", s.Number, maxNumber)
	case !(s.BrokenFlowWeight >= 0 && s.BrokenFlowWeight <= 1):
		return s.fieldError("broken_flow_weight", "%v is not in 0..1", s.BrokenFlowWeight)
	case s.Limits.Slots < 1 || s.Limits.Slots > 1<<16:
		return s.fieldError("limits.slots", "%d is not in 1..65536", s.Limits.Slots)
	case s.Limits.Connections < 1 || s.Limits.Connections > 1<<24:
		return s.fieldError("limits.connections", "%d is not in 1..16777216", s.Limits.Connections)
	case len(s.Addresses) == 0:
		return s.fieldError("address", "at least one is needed")
	case len(s.Targets) > maxTargets:
		return s.fieldError("target", "%d exceed %d", len(s.Targets), maxTargets)
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	return s.validateTargets()
}

func (s *Service) validateAddresses() error {
	seen := map[netip.AddrPort]bool{}
	for i, a := range s.Addresses {
		field := fmt.Sprintf("address[%d]", i)
		switch {
		case !a.Address.IsValid() || a.Address.Port() == 0 || a.Address.Addr().Zone() != "":
			return s.fieldError(field, "%q is not an IP address and port", a.Address)
		case a.Class == "":
			return s.fieldError(field+".class", "is missing")
		case a.AdmissionDeadline < 0 || time.Duration(a.AdmissionDeadline) > maxDeadline:
			return s.fieldError(field+".admission_deadline", "%v is not in 0..%v", time.Duration(a.AdmissionDeadline), maxDeadline)
		case seen[a.Address]:
			return s.fieldError(field, "%s appears twice", a.Address)
		}
		seen[a.Address] = true
	}
	return nil
}

func (s *Service) validateTargets() error {
	seen := map[netip.Addr]bool{}
	for i, t := range s.Targets {
		field := fmt.Sprintf("target[%d]", i)
		switch {
		case !t.Address.IsValid() || t.Address.Zone() != "":
			return s.fieldError(field+".address", "%q is not an IP address", t.Address)
		case t.DataCenter == "":
			return s.fieldError(field+".data_center", "is missing")
		case t.State != Active && t.State != Draining:
			return s.fieldError(field+".state", "%q is not active or draining", t.State)
		case seen[t.Address]:
			return s.fieldError(field+".address", "%s appears twice", t.Address)
		}
		seen[t.Address] = true
	}
	return nil
}

// Conflict checks s against the other entries of a catalogue and returns a
// *FieldError if one of them has the same number or address. Several services
// may share a target's address, since the number distinguishes their packets.
func (s *Service) Conflict(others []*Service) error {
	t := newAllocations()
	for _, o := range others {
		if o.Name != s.Name {
			_ = t.allocate(o)
		}
	}
	return t.allocate(s)
}

// allocations records which service has each number and address.
type allocations struct {
	numbers   map[uint32]string
	addresses map[netip.AddrPort]string
}

func newAllocations() *allocations {
	return &allocations{map[uint32]string{}, map[netip.AddrPort]string{}}
}

// allocate records the number and all addresses of s, or returns an error and records nothing
// if one of them belongs to another service.
func (t *allocations) allocate(s *Service) error {
	if n, ok := t.numbers[s.Number]; ok {
		return s.fieldError("number", "%d belongs to %q", s.Number, n)
	}
	for i, a := range s.Addresses {
		if n, ok := t.addresses[a.Address]; ok {
			return s.fieldError(fmt.Sprintf("address[%d]", i), "%s belongs to %q", a.Address, n)
		}
	}
	t.numbers[s.Number] = s.Name
	for _, a := range s.Addresses {
		t.addresses[a.Address] = s.Name
	}
	return nil
}

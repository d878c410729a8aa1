package catalogue

import "github.com/pkg/errors"

// Class is the kind of connections to an address, which determines the limit that they count
// against.
type Class string

const (
	// Stream connections are long-lived and count against Limits.Connections.
	Stream Class = "stream"
	// Request connections carry one request and occupy a slot until they close.
	Request Class = "request"
	// Urgent connections are like Request, with priority when all targets are full.
	Urgent Class = "urgent"
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(b []byte) error {
	switch v := Class(b); v {
	case Stream, Request, Urgent:
		*c = v
		return nil
	}
	return errors.Errorf("class %q is not stream, request or urgent", b)
}

// UsesSlots reports whether a connection of this class occupies a slot.
func (c Class) UsesSlots() bool { return c != Stream }

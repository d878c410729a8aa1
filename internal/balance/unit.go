package balance

// Unit is the kind of capacity that a flow uses at its target.
type Unit uint8

const (
	// Connection is used by a flow of a stream address.
	Connection Unit = iota
	// Slot is used by a flow of a request or urgent address.
	Slot
	units
)

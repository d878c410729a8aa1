package peer

import (
	"errors"
	"testing"

	"rosedale.dev/rosedale/internal/replica"
)

// Packed items exceed the limit. The error must say so: the items that were cut off would otherwise
// look like a corrupt answer, which any other balancer would give as well.
func TestTooLargeItemsAreAnErrorOfTheirOwn(t *testing.T) {
	large, err := Pack([]replica.Item{{Key: "a", Value: make([]byte, maxUnpacked+1)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Unpack(large); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want %v", err, ErrTooLarge)
	}
	if _, err := Unpack(large[:len(large)/2]); err == nil || errors.Is(err, ErrTooLarge) {
		t.Errorf("items that were cut on their way: %v", err)
	}
}

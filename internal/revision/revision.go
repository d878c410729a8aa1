// Package revision orders the states of the platform's store. Revision numbers grow with
// every write, but are reset and reused when the store is restored from an older copy of
// itself. The era distinguishes the incarnations of the store.
package revision

import (
	"cmp"
	"fmt"
)

// Revision identifies a state of the store. Numbers of different eras are not comparable.
type Revision struct {
	// Era counts how often the store has been restored from an older copy. It is 0 if the
	// store does not report eras.
	Era int64
	// Number grows with every write within an era.
	Number int64
}

// Compare returns -1 if r is before o, 0 if they are equal and 1 if r is after o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Before reports whether r is before o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// At returns the revision with the given number in the era of r.
func (r Revision) At(number int64) Revision { return Revision{Era: r.Era, Number: number} }

// String formats the revision as "era/number".
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

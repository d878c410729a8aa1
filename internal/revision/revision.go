// Package revision orders the states of the platform's store. Its revisions grow with
// every write, but go back and are given out again when the store comes back from an
// older copy of itself; eras tell such lives of the store apart.
package revision

import (
	"cmp"
	"fmt"
)

// Revision is a state of the store. Numbers of different eras have nothing in common.
type Revision struct {
	// Era counts how often the store has come back from an older copy. It is 0 if the
	// store does not tell.
	Era int64
	// Number grows with every write of an era.
	Number int64
}

// Compare returns -1, 0 or 1 if r was before o, is the same, or came after it.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Before reports whether r came before o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// At returns another revision of the same era.
func (r Revision) At(number int64) Revision { return Revision{Era: r.Era, Number: number} }

// String returns the era and the number.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

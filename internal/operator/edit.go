// Package operator implements the operations of the command-line tool: edits of the
// catalogue, and queries to balancers. Every write to the catalogue is a compare-and-swap
// with an edit ID, which distinguishes a lost response from a race with another operator.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/store"
)

const (
	editIDBytes = 8
	// resolveAttempts and resolvePause bound the reads that determine the outcome of a write
	// whose response was lost.
	resolveAttempts = 20
	resolvePause    = 250 * time.Millisecond
)

// Conflict is the error of an edit that conflicts with a concurrent one.
type Conflict struct {
	Name   string
	Theirs *catalogue.Service // the entry in the store, nil if deleted
	Diff   string             // from Theirs to the rejected entry
	// Uncertain means that the store's response was lost: the edit may have taken
	// effect before the other one replaced it.
	Uncertain bool
}

// Error implements error.
func (c *Conflict) Error() string {
	if c.Uncertain {
		return "catalogue: the store's response was lost and entry " + c.Name + " holds another edit, which may be based on this one"
	}
	return "catalogue: entry " + c.Name + " was changed concurrently; nothing was written"
}

// ErrUnknown is the error of an edit whose outcome could not be determined.
var ErrUnknown = errors.New("catalogue: the store did not respond; it is unknown whether the edit took effect")

// Catalogue edits the entries in a store.
type Catalogue struct {
	Store  store.Store
	Prefix string        // of the keys in the store
	Pause  time.Duration // between reads after a lost response; zero means 250 ms
}

func (c *Catalogue) key(name string) string { return store.ServiceKey(c.Prefix, name) }

// Entry is an entry with the index of its last write and its text in the store.
type Entry struct {
	Service *catalogue.Service
	Index   uint64
	Text    []byte
}

// Get returns an entry, or store.ErrNotFound if there is none.
func (c *Catalogue) Get(ctx context.Context, name string) (Entry, error) {
	p, err := c.Store.Get(ctx, c.key(name))
	if err != nil {
		return Entry{}, errors.Wrapf(err, "catalogue: get %s", name)
	}
	s, err := catalogue.Parse(p.Value)
	return Entry{s, p.Index, p.Value}, err
}

// List returns all valid entries, and the errors of the invalid ones.
func (c *Catalogue) List(ctx context.Context) ([]Entry, []error, error) {
	l, err := c.Store.List(ctx, store.ServicePrefix(c.Prefix), 0)
	if err != nil {
		return nil, nil, errors.Wrap(err, "catalogue: list")
	}
	var out []Entry
	var invalid []error
	for _, v := range store.Versions(l, c.Prefix) {
		s, err := catalogue.Parse(v.Text)
		if err != nil {
			invalid = append(invalid, err)
			continue
		}
		out = append(out, Entry{s, v.Index, v.Text})
	}
	return out, invalid, nil
}

// Put writes s if the entry's index is still old; zero means that the entry must not
// exist. It returns the index of the written version, or 0 if the entry was written but
// its index could not be read. Errors include *Conflict, ErrUnknown and ErrNotWritten.
func (c *Catalogue) Put(ctx context.Context, s *catalogue.Service, old uint64) (uint64, error) {
	if err := s.Validate(); err != nil {
		return 0, err
	}
	if err := c.checkOthers(ctx, s); err != nil {
		return 0, err
	}
	edited := *s
	edited.EditID = newEditID()
	text, err := catalogue.Encode(&edited)
	if err != nil {
		return 0, err
	}
	err = c.Store.Swap(ctx, c.key(s.Name), text, old)
	switch {
	case errors.Is(err, store.ErrConflict):
		return 0, c.conflict(ctx, &edited)
	case err != nil:
		return c.resolve(ctx, &edited, old)
	}
	p, err := c.Store.Get(ctx, c.key(s.Name))
	if err != nil {
		return 0, nil // written, but the index is unknown
	}
	return p.Index, nil
}

func (c *Catalogue) checkOthers(ctx context.Context, s *catalogue.Service) error {
	es, _, err := c.List(ctx)
	if err != nil {
		return err
	}
	var others []*catalogue.Service
	for _, e := range es {
		others = append(others, e.Service)
	}
	return s.Conflict(others)
}

// conflict returns the error of a rejected write, or nil if the stored version is the edit
// itself, which a client library may have sent twice after a lost response.
func (c *Catalogue) conflict(ctx context.Context, s *catalogue.Service) error {
	e, err := c.Get(ctx, s.Name)
	if errors.Is(err, store.ErrNotFound) {
		return &Conflict{Name: s.Name, Diff: Diff(nil, s)}
	}
	if err != nil {
		return err
	}
	if e.Service.EditID == s.EditID {
		return nil
	}
	return &Conflict{Name: s.Name, Theirs: e.Service, Diff: Diff(e.Service, s)}
}

// resolve determines the outcome of a write whose response was lost, by reading
// the entry until the store responds.
//
// The error of the write does not show whether it took effect. Repeating a write
// that took effect would fail or, without compare-and-swap, undo a later edit. The entry
// shows the outcome: this edit's ID (it took effect), the old index (it did not),
// or another edit's ID (another edit, possibly based on this one).
func (c *Catalogue) resolve(ctx context.Context, s *catalogue.Service, old uint64) (uint64, error) {
	pause := c.Pause
	if pause == 0 {
		pause = resolvePause
	}
	for range resolveAttempts {
		p, err := c.Store.Get(ctx, c.key(s.Name))
		missing := errors.Is(err, store.ErrNotFound)
		switch {
		case err == nil || missing:
			return c.outcomeOf(s, p, missing, old)
		case ctx.Err() != nil:
			return 0, ErrUnknown
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return 0, ErrUnknown
}

// ErrNotWritten is the error of a failed edit that did not take effect and can
// be retried.
var ErrNotWritten = errors.New("catalogue: the store failed and the edit did not take effect")

func (c *Catalogue) outcomeOf(s *catalogue.Service, p store.Pair, missing bool, old uint64) (uint64, error) {
	if missing && old == 0 || !missing && p.Index == old {
		return 0, ErrNotWritten
	}
	if missing {
		return 0, &Conflict{Name: s.Name, Diff: Diff(nil, s), Uncertain: true}
	}
	theirs, err := catalogue.Parse(p.Value)
	if err == nil && theirs.EditID == s.EditID {
		return p.Index, nil
	}
	return 0, &Conflict{s.Name, theirs, Diff(theirs, s), true}
}

// Delete removes an entry if its index is still old, and returns a *Conflict otherwise. An
// entry that no longer exists after a failed call counts as deleted.
func (c *Catalogue) Delete(ctx context.Context, name string, old uint64) error {
	err := c.Store.Delete(ctx, c.key(name), old)
	if errors.Is(err, store.ErrConflict) {
		return &Conflict{Name: name}
	}
	if err == nil {
		return nil
	}
	if _, gerr := c.Store.Get(ctx, c.key(name)); errors.Is(gerr, store.ErrNotFound) {
		return nil // deleted, by this call or another one
	}
	return errors.Wrapf(err, "catalogue: delete %s", name)
}

func newEditID() string {
	var b [editIDBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(b[:])
}

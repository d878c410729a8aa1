package catalogue

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Version is one version of an entry, as exchanged between balancers. Index is
// the store's modification index, which increases with every write to any key;
// Created is the index of the entry's creation. An empty Text is a tombstone.
type Version struct {
	Name    string `cbor:"1,keyasint"`
	Index   uint64 `cbor:"2,keyasint"`
	Text    []byte `cbor:"3,keyasint,omitempty"`
	Created uint64 `cbor:"4,keyasint,omitempty"`
}

// Deleted reports whether v is a tombstone.
func (v Version) Deleted() bool { return len(v.Text) == 0 }

// Versions holds the newest version of every entry. Only a version with a higher
// index replaces an entry, so that a rewound watch, a delayed message or a store
// restored from a backup cannot revert a change.
type Versions struct {
	byName map[string]Version
	valid  map[string]validEntry
	digest uint64
	high   uint64
}

// validEntry is the newest valid version of an entry with the index of its creation.
type validEntry struct {
	service *Service
	created uint64
}

// NewVersions returns an empty set.
func NewVersions() *Versions {
	return &Versions{byName: map[string]Version{}, valid: map[string]validEntry{}}
}

// Outcome is the result of Apply.
type Outcome int

// Outcomes of Apply.
const (
	Accepted Outcome = iota
	Stale            // not newer than the known version
	Invalid          // invalid entry: the last valid version stays in force
)

// Apply records v if it is newer than the known version. An invalid version does
// not take effect, but is kept so that it is passed on to other balancers and not
// requested again.
func (c *Versions) Apply(v Version) (Outcome, error) {
	old, ok := c.byName[v.Name]
	if ok && v.Index <= old.Index {
		return Stale, nil
	}
	c.set(v)
	if v.Deleted() {
		delete(c.valid, v.Name)
		return Accepted, nil
	}
	s, err := Parse(v.Text)
	if err != nil {
		return Invalid, err
	}
	if s.Name != v.Name {
		return Invalid, s.fieldError("name", "is stored under %q", v.Name)
	}
	c.valid[v.Name] = validEntry{s, v.Created}
	return Accepted, nil
}

func (c *Versions) set(v Version) {
	if old, ok := c.byName[v.Name]; ok {
		c.digest ^= versionHash(old)
	}
	c.byName[v.Name] = v
	c.digest ^= versionHash(v)
	c.high = max(c.high, v.Index)
}

func versionHash(v Version) uint64 {
	b := binary.BigEndian.AppendUint64([]byte(v.Name), v.Index)
	return xxhash.Sum64(b)
}

// Digest returns a hash that is equal at balancers that know the same versions.
func (c *Versions) Digest() uint64 { return c.digest }

// High returns the highest index known.
func (c *Versions) High() uint64 { return c.high }

// Get returns the newest version of a name.
func (c *Versions) Get(name string) (Version, bool) {
	v, ok := c.byName[name]
	return v, ok
}

// All returns every version, tombstones included, sorted by name.
func (c *Versions) All() []Version {
	out := make([]Version, 0, len(c.byName))
	for _, v := range c.byName {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Services returns the entries in force, oldest first, and an error for each
// entry that is held back because of a conflict.
//
// Two operators who concurrently give two services the same number or address
// create a conflict that compare-and-swap on single entries cannot detect. The
// entry that was created first keeps the number or address, so that all balancers
// with the same versions decide alike, whatever the order of arrival.
func (c *Versions) Services() ([]*Service, []error) {
	entries := make([]validEntry, 0, len(c.valid))
	for _, e := range c.valid {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool {
		a, b := entries[i], entries[j]
		if a.created != b.created {
			return a.created < b.created
		}
		return a.service.Name < b.service.Name
	})
	var out []*Service
	var errs []error
	allocated := newAllocations()
	for _, e := range entries {
		if err := allocated.allocate(e.service); err != nil {
			errs = append(errs, err)
			continue
		}
		out = append(out, e.service)
	}
	return out, errs
}

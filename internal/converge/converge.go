// Package converge brings every balancer to the same versions of the
// catalogue: new versions are pushed on to a few members by each that accepts
// them, and the digests on heartbeats find and repair what was missed. It does
// no I/O.
package converge

import (
	"math/rand/v2"
	"time"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/wire"
)

const (
	fanout    = 3
	pullPause = 300 * time.Millisecond
	// maxPush bounds the versions in one message, in bytes of their text.
	maxPush = 1 << 20
)

// Send is a message to a member.
type Send struct {
	To  string
	Msg *wire.Message
}

// Counts are totals since the start.
type Counts struct {
	Accepted, Stale, Invalid, Pulls uint64
}

// Catalogue is the distributed state of one member.
type Catalogue struct {
	self     string
	versions *catalogue.Versions
	rnd      *rand.Rand
	pulledAt time.Duration
	pulled   bool
	fullNext bool
	Count    Counts
}

// New returns an empty catalogue of the member self.
func New(self string, randomSeed uint64) *Catalogue {
	return &Catalogue{
		self:     self,
		versions: catalogue.NewVersions(),
		rnd:      rand.New(rand.NewPCG(randomSeed, 11)),
	}
}

// Versions returns what is in force.
func (c *Catalogue) Versions() *catalogue.Versions { return c.versions }

// Accept applies versions that arrived from the store or a member, and passes
// on to peers those that are news. Changed reports whether any was. Errors of
// entries that are not accepted are returned beside.
func (c *Catalogue) Accept(vs []catalogue.Version, from string, peers []string) (out []Send, changed bool, errs []error) {
	var news []catalogue.Version
	for _, v := range vs {
		o, err := c.versions.Apply(v)
		c.note(o)
		if err != nil {
			errs = append(errs, err)
		}
		if o != catalogue.Stale {
			news = append(news, v)
		}
	}
	if len(news) == 0 {
		return nil, false, errs
	}
	return c.push(news, from, peers), true, errs
}

func (c *Catalogue) note(o catalogue.Outcome) {
	switch o {
	case catalogue.Accepted:
		c.Count.Accepted++
	case catalogue.Stale:
		c.Count.Stale++
	case catalogue.Invalid:
		c.Count.Invalid++
	}
}

func (c *Catalogue) push(news []catalogue.Version, except string, peers []string) []Send {
	var to []string
	for _, p := range peers {
		if p != except && p != c.self {
			to = append(to, p)
		}
	}
	c.rnd.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	var out []Send
	for i := 0; i < len(to) && i < fanout; i++ {
		for _, part := range split(news) {
			out = append(out, Send{to[i], c.message(wire.Push, part)})
		}
	}
	return out
}

func (c *Catalogue) message(k wire.Kind, vs []catalogue.Version) *wire.Message {
	return &wire.Message{Kind: k, From: c.self, Digest: c.versions.Digest(), High: c.versions.High(), Versions: vs}
}

func split(vs []catalogue.Version) [][]catalogue.Version {
	var out [][]catalogue.Version
	size, from := 0, 0
	for i, v := range vs {
		if size > 0 && size+len(v.Text) > maxPush {
			out = append(out, vs[from:i])
			size, from = 0, i
		}
		size += len(v.Text)
	}
	return append(out, vs[from:])
}

// Stamp puts the digest on a heartbeat.
func (c *Catalogue) Stamp(m *wire.Message) {
	m.Digest = c.versions.Digest()
	m.High = c.versions.High()
}

// Compare looks at a heartbeat's digest and asks its sender for what is
// missing: first only for what is above the own highest index, and when that
// did not help, with a list of everything held.
func (c *Catalogue) Compare(now time.Duration, m *wire.Message) []Send {
	if m.Digest == c.versions.Digest() || m.High == 0 {
		c.fullNext = false
		return nil
	}
	if c.pulled && now-c.pulledAt < pullPause {
		return nil
	}
	c.pulled, c.pulledAt = true, now
	c.Count.Pulls++
	msg := c.message(wire.Pull, nil)
	if m.High > c.versions.High() && !c.fullNext {
		msg.Above = max(c.versions.High(), 1)
		c.fullNext = true
		return []Send{{m.From, msg}}
	}
	msg.Full = true
	msg.Have = c.Have()
	return []Send{{m.From, msg}}
}

// Have returns the index of every entry held, for a complete Pull.
func (c *Catalogue) Have() map[string]uint64 {
	have := map[string]uint64{}
	for _, v := range c.versions.All() {
		have[v.Name] = v.Index
	}
	return have
}

// Answer returns the versions that a Pull asks for.
func (c *Catalogue) Answer(m *wire.Message) []Send {
	var vs []catalogue.Version
	for _, v := range c.versions.All() {
		if m.Full && v.Index > m.Have[v.Name] || !m.Full && v.Index > m.Above {
			vs = append(vs, v)
		}
	}
	if len(vs) == 0 {
		return nil
	}
	var out []Send
	for _, part := range split(vs) {
		out = append(out, Send{m.From, c.message(wire.Push, part)})
	}
	return out
}

// VersionsFromListing turns a complete listing of a part of the store, taken at index,
// into versions: entries of that part which are missing from it were deleted,
// but only if the listing is newer than all of the part that is known. A listing
// of a rewound store says nothing.
func (c *Catalogue) VersionsFromListing(index uint64, entries []catalogue.Version, part func(name string) bool) []catalogue.Version {
	listed := map[string]bool{}
	for _, v := range entries {
		listed[v.Name] = true
	}
	var known []catalogue.Version
	for _, v := range c.versions.All() {
		if !part(v.Name) {
			continue
		}
		if index < v.Index {
			return entries
		}
		known = append(known, v)
	}
	for _, v := range known {
		if !listed[v.Name] && !v.Deleted() && index > v.Index {
			entries = append(entries, catalogue.Version{Name: v.Name, Index: index})
		}
	}
	return entries
}

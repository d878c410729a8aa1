package flow

import (
	"sync"
	"time"
	"unsafe"
)

const (
	// TickLength is the resolution of the times in an Entry.
	TickLength = 10 * time.Millisecond

	shardBits  = 8
	shardCount = 1 << shardBits
	// firstSlots is the number of slots of a shard with its first entry.
	firstSlots = 16
	// A shard grows by a quarter when it is more than four fifths full, which
	// keeps the memory for each entry close to the entry's own size.
	loadNum, loadDen = 4, 5
	// Learned and hinted entries are inserted only while all entries of the
	// shard take less than this share of its limit.
	learnNum, learnDen = 7, 8
	// evictScan is the number of slots examined to find an evictable entry.
	evictScan = 64
)

// Table is a sharded open-addressing hash table with a fixed maximum number of
// entries. Each shard has its own lock: packets of one flow may reach any
// traffic goroutine, since the kernel distributes datagrams by their outer
// addresses.
type Table struct {
	shards [shardCount]Shard
}

// Shard is one part of a Table. Callers of its exported methods must hold its
// lock.
type Shard struct {
	sync.Mutex
	slots []Entry
	used  int
	limit int
	_     [64]byte // keeps the locks of adjacent shards on separate cache lines
}

// NewTable returns a table for at most limit entries, divided evenly among the
// shards.
func NewTable(limit int) *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].limit = max(limit/shardCount, 1)
	}
	return t
}

// Shard returns the shard for a key with the given hash.
func (t *Table) Shard(hash uint64) *Shard { return &t.shards[hash>>(64-shardBits)] }

// Len returns the number of entries.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.Lock()
		n += s.used
		s.Unlock()
	}
	return n
}

// Each calls f for every entry, one shard at a time with its lock held, and
// deletes the entries for which f returns false.
func (t *Table) Each(f func(*Entry) bool) {
	for i := range t.shards {
		t.shards[i].each(f)
	}
}

// EachInPart is Each for a single part of the table, so that a sweep can be
// divided into short steps. Parts are numbered modulo Parts.
func (t *Table) EachInPart(part int, f func(*Entry) bool) {
	t.shards[part%shardCount].each(f)
}

// Parts is the number of parts for EachInPart.
const Parts = shardCount

func (s *Shard) each(f func(*Entry) bool) {
	s.Lock()
	defer s.Unlock()
	for i := 0; i < len(s.slots); {
		if s.slots[i].State == 0 || f(&s.slots[i]) {
			i++
			continue
		}
		s.remove(i) // remove may have moved a later entry into slot i
	}
}

// index returns the first slot of the probe sequence of a hash. It uses the low
// 32 bits, since the high ones select the shard.
func (s *Shard) index(hash uint64) int {
	return int((hash & (1<<32 - 1)) * uint64(len(s.slots)) >> 32)
}

// Get returns the entry of k, or nil. The pointer is valid until the lock is
// released.
func (s *Shard) Get(k Key, hash uint64) *Entry {
	if i := s.find(k, hash); i >= 0 {
		return &s.slots[i]
	}
	return nil
}

// find returns the index of k's slot, or -1.
func (s *Shard) find(k Key, hash uint64) int {
	if len(s.slots) == 0 {
		return -1
	}
	for i := s.index(hash); s.slots[i].State != 0; {
		if s.slots[i].Key == k {
			return i
		}
		if i++; i == len(s.slots) {
			i = 0
		}
	}
	return -1
}

// Insert returns a new entry for k in state st, or nil when the shard is at
// its limit. The key must not be present. Entries that this balancer decided
// on or counts are never evicted for new ones. Learned and hinted entries only
// save a forwarding hop: they are not inserted close to the limit, and are
// evicted at it.
func (s *Shard) Insert(k Key, hash uint64, st State) *Entry {
	if (st == Learned || st == Hinted) && s.used*learnDen >= s.limit*learnNum {
		return nil
	}
	if s.used >= s.limit && !s.evictLearned(s.index(hash)) {
		return nil
	}
	if (s.used+1)*loadDen > len(s.slots)*loadNum {
		s.grow()
	}
	e := s.place(k, hash)
	*e = Entry{Key: k, State: st}
	s.used++
	return e
}

// evictLearned removes a learned or hinted entry that is not counted, among the
// first evictScan slots at and after from. It returns false if there is none.
func (s *Shard) evictLearned(from int) bool {
	for n := range min(evictScan, len(s.slots)) {
		i := (from + n) % len(s.slots)
		if e := &s.slots[i]; (e.State == Learned || e.State == Hinted) && e.Flags&Counted == 0 {
			s.remove(i)
			return true
		}
	}
	return false
}

// place returns the free slot for an entry with the given hash.
func (s *Shard) place(k Key, hash uint64) *Entry {
	i := s.index(hash)
	for s.slots[i].State != 0 {
		if i++; i == len(s.slots) {
			i = 0
		}
	}
	return &s.slots[i]
}

func (s *Shard) grow() {
	old := s.slots
	s.slots = make([]Entry, max(firstSlots, len(old)+len(old)/4+1))
	for i := range old {
		if old[i].State != 0 {
			*s.place(old[i].Key, old[i].Key.Hash()) = old[i]
		}
	}
}

// Delete removes the entry of k, if any.
func (s *Shard) Delete(k Key, hash uint64) {
	if i := s.find(k, hash); i >= 0 {
		s.remove(i)
	}
}

// remove empties slot i and moves later entries of the same probe sequence
// back, so that no lookup stops early at the empty slot.
func (s *Shard) remove(i int) {
	n := len(s.slots)
	s.used--
	s.slots[i] = Entry{}
	for j := (i + 1) % n; s.slots[j].State != 0; j = (j + 1) % n {
		ideal := s.index(s.slots[j].Key.Hash())
		if (j-ideal+n)%n >= (j-i+n)%n {
			s.slots[i] = s.slots[j]
			s.slots[j] = Entry{}
			i = j
		}
	}
}

// Bytes returns the size in bytes of all slots, used and free.
func (t *Table) Bytes() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.Lock()
		n += len(s.slots) * int(unsafe.Sizeof(Entry{}))
		s.Unlock()
	}
	return n
}

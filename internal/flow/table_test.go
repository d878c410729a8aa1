package flow

import (
	"net/netip"
	"testing"
	"unsafe"

	"pgregory.net/rapid"
)

func keyOf(n int) Key {
	a := netip.AddrFrom4([4]byte{198, 51, byte(n >> 16), byte(n >> 8)})
	return NewKey(netip.AddrPortFrom(a, uint16(n)), 1)
}

// Compares the table with a map through random sequences of inserts and
// deletes. The most error-prone part is the backward shift on deletion.
func TestTableBehavesAsMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model := NewTable(1<<16), map[Key]uint32{}
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 400), 1, 600).Draw(t, "keys") {
			k := keyOf(n)
			h := k.Hash()
			s := table.Shard(h)
			s.Lock()
			if _, ok := model[k]; ok {
				s.Delete(k, h)
				delete(model, k)
			} else {
				s.Insert(k, h, Open).Target = uint32(i)
				model[k] = uint32(i)
			}
			s.Unlock()
		}
		found := map[Key]uint32{}
		table.Each(func(e *Entry) bool { found[e.Key] = e.Target; return true })
		if len(found) != len(model) || table.Len() != len(model) {
			t.Fatalf("the table has %d entries, want %d", len(found), len(model))
		}
		for k, v := range model {
			e := table.Shard(k.Hash()).Get(k, k.Hash())
			if e == nil || e.Target != v {
				t.Fatalf("entry %v is %v, want target %d", k, e, v)
			}
		}
	})
}

// Guards against eviction of established flows when a flood of opening packets
// fills the table: the new entries must be rejected instead.
func TestFullTableKeepsWhatItHas(t *testing.T) {
	const limit = 1024
	table := NewTable(limit)
	var kept []Key
	for n := range 20 * limit {
		k := keyOf(n)
		s := table.Shard(k.Hash())
		if s.Insert(k, k.Hash(), Open) != nil {
			kept = append(kept, k)
		}
	}
	if len(kept) > limit {
		t.Fatalf("%d entries exceed the bound %d", len(kept), limit)
	}
	for _, k := range kept {
		if table.Shard(k.Hash()).Get(k, k.Hash()) == nil {
			t.Fatalf("entry %v was evicted", k)
		}
	}
}

// Guards against openings being rejected at their home because learned flows
// fill the table. Learned entries only save other balancers a hop, so they
// must be evicted.
func TestOpeningsDisplaceLearnedFlows(t *testing.T) {
	const limit = 1 << 14
	table := NewTable(limit)
	learned, opened := 0, 0
	for n := range 4 * limit {
		k := keyOf(n)
		if table.Shard(k.Hash()).Insert(k, k.Hash(), Learned) != nil {
			learned++
		}
	}
	if learned > limit*learnNum/learnDen+shardCount {
		t.Fatalf("%d flows were learned under a bound of %d", learned, limit)
	}
	for n := range limit / 2 {
		k := keyOf(1<<20 + n)
		if table.Shard(k.Hash()).Insert(k, k.Hash(), Opening) != nil {
			opened++
		}
	}
	if opened < limit/2*99/100 {
		t.Fatalf("only %d of %d openings were inserted", opened, limit/2)
	}
}

func TestEachDeletes(t *testing.T) {
	table := NewTable(1 << 16)
	for n := range 5000 {
		k := keyOf(n)
		table.Shard(k.Hash()).Insert(k, k.Hash(), Open).Target = uint32(n)
	}
	table.Each(func(e *Entry) bool { return e.Target%3 == 0 })
	table.Each(func(e *Entry) bool {
		if e.Target%3 != 0 {
			t.Errorf("entry %d was not deleted", e.Target)
		}
		return true
	})
	if table.Len() != 1667 {
		t.Fatalf("%d entries are left, want 1667", table.Len())
	}
}

// Capacity planning assumes at most 48 bytes for each flow.
func TestEntrySize(t *testing.T) {
	if n := unsafe.Sizeof(Entry{}); n > 48 {
		t.Fatalf("an entry has %d bytes, want at most 48", n)
	}
}

func benchmarkFill(b *testing.B, n int) {
	for b.Loop() {
		t := NewTable(2 * n)
		for i := range n {
			k := keyOf(i)
			t.Shard(k.Hash()).Insert(k, k.Hash(), Open)
		}
		b.ReportMetric(float64(t.Bytes())/float64(t.Len()), "bytes/flow")
	}
}

func BenchmarkFill1e4(b *testing.B) { benchmarkFill(b, 10_000) }
func BenchmarkFill1e5(b *testing.B) { benchmarkFill(b, 100_000) }
func BenchmarkFill1e6(b *testing.B) { benchmarkFill(b, 1_000_000) }

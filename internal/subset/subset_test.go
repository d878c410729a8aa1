package subset

import (
	"math"
	"slices"
	"testing"
)

// ids returns n identifiers that differ only in their low bits, as those of targets do.
func ids(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = 0xa100000001 + uint64(i)
	}
	return out
}

// Guards against targets that more balancers use than others, which then queue longer.
func TestTargetsAreCoveredEvenly(t *testing.T) {
	for _, b := range []int{3, 29, 200} {
		for _, n := range []int{5, 40, 120, 2133} {
			for _, size := range []int{1, 4, 9, 40} {
				size := min(size, n)
				uses := map[uint64]int{}
				for r := range b {
					for _, id := range Arc(ids(n), r, b, size) {
						uses[id]++
					}
				}
				want := float64(size*b) / float64(n)
				for _, id := range ids(n) {
					if got := float64(uses[id]); math.Abs(got-want) > 1 {
						t.Errorf("%d balancers, %d targets, size %d: a target is in %.0f arcs, want %.2f within one", b, n, size, got, want)
						break
					}
				}
			}
		}
	}
}

// lost returns how many targets of an arc are not in the next one.
func lost(before, after []uint64) int {
	n := 0
	for _, id := range before {
		if !slices.Contains(after, id) {
			n++
		}
	}
	return n
}

// Guards against arcs that move with every change of the list, which would lose what is known
// about the targets: one target that comes or goes replaces at most two targets of an arc.
func TestOneTargetChangesArcsLittle(t *testing.T) {
	for _, b := range []int{3, 29, 200} {
		all := ids(120)
		for gone := range all {
			rest := slices.Delete(slices.Clone(all), gone, gone+1)
			for r := range b {
				with, without := Arc(all, r, b, 9), Arc(rest, r, b, 9)
				if n := max(lost(with, without), lost(without, with)); n > 2 {
					t.Fatalf("%d balancers, target %d: arc %d changed by %d targets", b, gone, r, n)
				}
			}
		}
	}
}

// Guards against arcs that move far when a balancer comes or goes: n/b+1 positions at most.
func TestOneBalancerMovesArcsLittle(t *testing.T) {
	const n = 120
	for _, b := range []int{3, 29, 200} {
		ring := Arc(ids(n), 0, 1, n)
		position := func(rank, balancers int) int { return slices.Index(ring, Arc(ids(n), rank, balancers, 9)[0]) }
		for gone := range b {
			for r := range b {
				next := r
				if r > gone {
					next--
				}
				if r == gone {
					continue
				}
				d := position(r, b) - position(next, b-1)
				if d = max(d, -d); d > n/b+1 {
					t.Fatalf("%d balancers, %d gone: the arc of %d moved by %d positions", b, gone, r, d)
				}
			}
		}
	}
}

// Guards against panics and empty arcs when views of the fleet are incomplete or disagree.
func TestUnusualArguments(t *testing.T) {
	all := slices.Sorted(slices.Values(ids(5)))
	for _, c := range []struct{ rank, balancers, size, want int }{
		{0, 3, 5, 5}, {2, 3, 9, 5}, {7, 3, 2, 2}, {-1, 3, 2, 2}, {0, 0, 2, 2}, {1, -4, 2, 2}, {0, 3, 0, 0}, {0, 3, -1, 0},
	} {
		arc := slices.Sorted(slices.Values(Arc(all, c.rank, c.balancers, c.size)))
		if len(arc) != c.want || len(slices.Compact(arc)) != c.want || lost(arc, all) != 0 {
			t.Errorf("rank %d of %d, size %d: %v", c.rank, c.balancers, c.size, arc)
		}
	}
	if arc := Arc(nil, 0, 3, 4); len(arc) != 0 {
		t.Errorf("%v of no targets", arc)
	}
	if !slices.Equal(Arc(all, 7, 3, 2), Arc(all, 1, 3, 2)) || !slices.Equal(Arc(all, -1, 3, 2), Arc(all, 2, 3, 2)) {
		t.Error("a rank out of range is not taken modulo the number of balancers")
	}
}

// Guards against an order that depends on how the list arrived, with which balancers would
// cover targets unevenly, and against a changed input.
func TestOrderOfTheListDoesNotMatter(t *testing.T) {
	all := ids(40)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	for r := range 29 {
		if !slices.Equal(Arc(all, r, 29, 4), Arc(reversed, r, 29, 4)) {
			t.Fatalf("arc %d depends on the order", r)
		}
	}
	if !slices.Equal(all, ids(40)) {
		t.Error("the list of targets was changed")
	}
}

// BenchmarkArc measures a change of the list in a large data centre.
func BenchmarkArc(b *testing.B) {
	all := ids(2133)
	for b.Loop() {
		Arc(all, 17, 200, 22)
	}
}

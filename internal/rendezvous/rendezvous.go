// Package rendezvous orders nodes by highest random weight for a key, so that
// every process with the same nodes computes the same order and a change of
// one node moves only that node's keys.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Seed returns the hash of a node's name, to be computed once per node.
func Seed(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of the node with the given seed for a key. It mixes
// them with the 64-bit finalizer of MurmurHash3.
func Score(key, seed uint64) uint64 {
	x := key ^ seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// First returns the index of the node with the highest score, or -1.
func First(key uint64, seeds []uint64) int {
	best, at := uint64(0), -1
	for i, s := range seeds {
		if sc := Score(key, s); at < 0 || sc > best {
			best, at = sc, i
		}
	}
	return at
}

// Order appends the indexes of the k highest-scoring nodes to dst, best first.
func Order(dst []int, key uint64, seeds []uint64, k int) []int {
	base := len(dst)
	for i, s := range seeds {
		dst = insert(dst, base, i, Score(key, s), key, seeds)
		if len(dst)-base > k {
			dst = dst[:base+k]
		}
	}
	return dst
}

// insert adds index i at its place in the order that begins at base.
func insert(dst []int, base, i int, score, key uint64, seeds []uint64) []int {
	dst = append(dst, i)
	for j := len(dst) - 1; j > base && score > Score(key, seeds[dst[j-1]]); j-- {
		dst[j], dst[j-1] = dst[j-1], dst[j]
	}
	return dst
}

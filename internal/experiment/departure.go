package experiment

import "time"

// departure is the end of a stream.
type departure struct {
	at     time.Duration
	home   int
	target uint32
}

// departures is a heap of departures, ordered by time.
type departures []departure

func (d departures) Len() int           { return len(d) }
func (d departures) Less(i, j int) bool { return d[i].at < d[j].at }
func (d departures) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *departures) Push(x any) { *d = append(*d, x.(departure)) }

// Pop implements heap.Interface.
func (d *departures) Pop() any {
	o := *d
	x := o[len(o)-1]
	*d = o[:len(o)-1]
	return x
}

package replica

import (
	"fmt"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// delivery is what becomes of changes that the store is asked for.
type delivery int

// Deliveries: they arrive, do not arrive before the request times out, end early, or are refused.
const (
	arrive delivery = iota
	tooLate
	endEarly
	refused
)

// read reads the store: again over a new connection if the pooled one is silent, and by a
// listing if the changes do not arrive.
func (w *staleSimulation) read(f *follower) {
	began := w.now
	f.reader.Started(began)
	silent := f.store.use(w.now)
	took, ok, listed := w.answer(f, silent)
	if listed {
		f.listings.Done(began, false)
	}
	w.after(took, func() {
		f.store.silent = f.store.silent && !ok
		f.store.usedAt = w.now
		f.nextRead = max(w.now, began+f.reader.Done(ok))
		if !ok {
			return
		}
		if listed {
			f.replica.Replace(w.changesSince(int64(len(w.written))-1), w.position(), began)
		} else {
			f.replica.Apply(w.changesSince(f.replica.Position().Number), w.position(), began)
		}
		f.lag.Reached(w.now, f.replica.Position())
	})
}

// answer returns how long a read takes, whether it succeeds and whether it is a listing.
func (w *staleSimulation) answer(f *follower, silent bool) (took time.Duration, ok, listed bool) {
	first := simAnswer
	if silent {
		first += simReadHedge
	}
	late := ListBeside(f.replica.Age(w.now))
	changes := w.changes
	if f.replica.Position() == w.position() {
		changes = arrive // there are none
	}
	switch {
	case f.cut:
		return simReadTimeout, false, true
	case changes == tooLate, first > late:
		return late + simAnswer, true, true
	case changes == arrive:
		return first, true, false
	case changes == refused && !f.listings.May(w.now):
		return first, false, false
	}
	return first + simAnswer, true, true
}

func (w *staleSimulation) position() revision.Revision {
	return revision.Revision{Number: int64(len(w.written))}
}

func (w *staleSimulation) changesSince(after int64) []Item {
	var out []Item
	for n := after + 1; n <= int64(len(w.written)); n++ {
		out = append(out, put("catalogue", fmt.Sprint(n), n))
	}
	return out
}

package soak

import (
	"math/rand/v2"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

const (
	// backupPause is the time between two copies of the store, of which the last ones are
	// kept.
	backupPause = 500 * time.Millisecond
	backupsKept = 10
	// heartbeat is the time within which every target writes its entry again.
	heartbeat = 1200 * time.Millisecond
)

// drill has the store come back from an older copy now and then, beside the faults. It
// draws numbers of its own, so that a seed's faults stay as they are.
func (w *world) drill(r *rand.Rand, until time.Time) {
	var copies []direct.Backup
	due := time.Now().Add(time.Duration(2000+r.IntN(4000)) * time.Millisecond)
	for time.Now().Before(until) {
		copies = append(copies, w.store.Backup())
		copies = copies[max(0, len(copies)-backupsKept):]
		time.Sleep(backupPause)
		if time.Now().Before(due) {
			continue
		}
		w.comeBack(r, copies[r.IntN(len(copies))])
		copies = nil
		due = time.Now().Add(time.Duration(3000+r.IntN(4000)) * time.Millisecond)
	}
}

// comeBack loses what was written since a copy. The operator and the targets that live
// write it again.
func (w *world) comeBack(r *rand.Rand, b direct.Backup) {
	w.mu.Lock()
	w.done["store from an older copy"]++
	w.store.FailAll(direct.Busy)
	w.mu.Unlock()
	time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Restore(b)
	w.store.FailAll(direct.Healthy)
	w.again(r, w.putCatalogue)
	w.again(r, w.putEvacuation)
	for _, x := range w.targets {
		w.again(r, func() {
			if !x.ended.Load() {
				x.Register()
			}
		})
	}
}

// again writes something again within a heartbeat.
func (w *world) again(r *rand.Rand, write func()) {
	time.AfterFunc(time.Duration(r.Int64N(int64(heartbeat))), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		write()
	})
}

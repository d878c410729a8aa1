package soak

import (
	"math/rand/v2"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

const (
	// backupInterval is the time between two backups of the store, of which the newest
	// backupsKept are kept.
	backupInterval = 500 * time.Millisecond
	backupsKept    = 10
	// maxHeartbeatInterval is the time within which every target writes its entry again.
	maxHeartbeatInterval = 1200 * time.Millisecond
)

// restoreBackups restores the store from an older backup every few seconds, in parallel
// to the faults. It has a random generator of its own, so that a seed always gives the
// same faults.
func (w *world) restoreBackups(r *rand.Rand, until time.Time) {
	var copies []direct.Backup
	due := time.Now().Add(time.Duration(2000+r.IntN(4000)) * time.Millisecond)
	for time.Now().Before(until) {
		copies = append(copies, w.store.Backup())
		copies = copies[max(0, len(copies)-backupsKept):]
		time.Sleep(backupInterval)
		if time.Now().Before(due) {
			continue
		}
		w.restoreBackup(r, copies[r.IntN(len(copies))])
		copies = nil
		due = time.Now().Add(time.Duration(3000+r.IntN(4000)) * time.Millisecond)
	}
}

// restoreBackup restores the store from a backup, which loses later writes. The operator
// and the running targets write theirs again within maxHeartbeatInterval.
func (w *world) restoreBackup(r *rand.Rand, b direct.Backup) {
	w.mu.Lock()
	w.faultCounts["store restored from an older copy"]++
	w.store.FailAll(direct.Busy)
	w.mu.Unlock()
	time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Restore(b)
	w.store.FailAll(direct.Healthy)
	w.rewriteLater(r, w.putCatalogue)
	w.rewriteLater(r, w.putEvacuation)
	for _, x := range w.targets {
		w.rewriteLater(r, func() {
			if !x.ended.Load() {
				x.Register()
			}
		})
	}
}

// rewriteLater calls write after a random time of at most maxHeartbeatInterval.
func (w *world) rewriteLater(r *rand.Rand, write func()) {
	time.AfterFunc(time.Duration(r.Int64N(int64(maxHeartbeatInterval))), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		write()
	})
}

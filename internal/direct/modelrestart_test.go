package direct

import (
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// crash ends the current start of a target with its flows. Its registration stays.
func (m *model) crash(x *modelTarget) {
	if x.ended || x.closed || x.down {
		return
	}
	x.down = true
	x.start++
}

// restart starts a target again under its identifier, ready, with its clock stepped by a
// number of milliseconds. Balancers learn of it with their next update.
func (m *model) restart(x *modelTarget, step int) {
	if x.ended || x.closed {
		return
	}
	m.crash(x)
	x.down = false
	m.revision++
	x.Revision = m.rev()
	x.Draining = false
	x.Born = Born{Known: true, Millis: (m.now + time.Duration(step)*time.Millisecond).Milliseconds()}
}

func (m *model) rev() revision.Revision { return revision.Revision{Era: m.era, Number: m.revision} }

// modelBackup is a copy of the registrations in the store.
type modelBackup []Target

func (m *model) backup() modelBackup {
	var b modelBackup
	for _, x := range m.targets {
		if !x.ended {
			b = append(b, x.Target)
		}
	}
	return b
}

// restoreStore replaces the store by one restored from a backup, with a new era and lower
// revisions. The targets write their registrations again later.
func (m *model) restoreStore(b modelBackup) {
	m.era++
	m.revision = 0
	for _, x := range m.targets {
		m.revision++
		x.Revision = m.rev()
	}
	m.restored = nil
	for _, t := range b {
		t.Revision = revision.Revision{Era: m.era}
		m.restored = append(m.restored, t)
	}
}

// updateRestored brings a balancer up to the content of the restored store before any target
// has written again. Registrations less recent than what the balancer knows are not applied;
// see replica.Settling.
func (m *model) updateRestored(i int) {
	f := m.balancers[i]
	for _, t := range m.restored {
		if m.trustsOldCopy || !f.KnowsNewer(t) {
			m.applyResets(f.PutTarget(m.now, t), ResetRestarted)
		}
	}
	if m.trustsOldCopy {
		f.SetListCompleteAt(m.now)
	}
}

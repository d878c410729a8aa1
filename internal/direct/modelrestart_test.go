package direct

import (
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// crash ends a target's start with its flows. Its registration stays.
func (m *model) crash(x *modelTarget) {
	if x.ended || x.closed || x.down {
		return
	}
	x.down = true
	x.start++
}

// restart has a target start again under its identifier, ready, with its clock
// stepped by so many milliseconds. Balancers hear of it when they next learn.
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

// modelBackup is a copy of what the targets had written into the store.
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

// comeBack has the store come back from a copy. Its revisions go back; the targets write
// again later, as new ones.
func (m *model) comeBack(b modelBackup) {
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

// learnRestored brings a balancer up to what the store says before anybody has written
// again. Entries that say less than is known are put off; see replica.Settling.
func (m *model) learnRestored(i int) {
	f := m.balancers[i]
	for _, t := range m.restored {
		if m.gullible || !f.KnowsNewer(t) {
			m.reset(f.PutTarget(m.now, t), ResetRestarted)
		}
	}
	if m.gullible {
		f.SetListCompleteAt(m.now)
	}
}

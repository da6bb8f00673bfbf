package quota

import "fmt"

// Dump returns the state of all teams for the output of failed tests.
func (m *Machine) Dump() string {
	text := fmt.Sprintf("now %s\n", m.now)
	for _, name := range m.names {
		t := m.teams[name]
		text += fmt.Sprintf("%s phase %d record %+v max seen %d next %d retry %s next division %s pending %v acked %v unconfirmed %v unacked %v increase pending %t must write %t reported %v\n",
			name, t.phase, t.record, t.maxSeenVersion, t.nextVersion, t.retryAt, t.nextDivision, t.pendingDecreases, t.ackedDecreases, t.unconfirmed, t.unacked, t.increasePending, t.mustWrite, t.reported)
	}
	return text
}

package tonnage

import "fmt"

// Dump describes the teams, for the output of failed tests.
func (m *Machine) Dump() string {
	text := fmt.Sprintf("now %s\n", m.now)
	for _, name := range m.names {
		t := m.teams[name]
		text += fmt.Sprintf("%s phase %d record %+v seen %d next %d retry %s next %s lowering %v lowered %v unsettled %v unsent %v raising %t rewrite %t acked %v\n",
			name, t.phase, t.record, t.seen, t.next, t.retryAt, t.nextAt, t.lowering, t.lowered, t.unsettled, t.unsent, t.raising, t.rewrite, t.acked)
	}
	return text
}

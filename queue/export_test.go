package queue

import (
	"fmt"
	"strings"
)

// Dump describes the open requests, for the output of failed tests.
func (m *Machine) Dump() string {
	var b strings.Builder
	fmt.Fprintf(&b, "recovered %t open %d now %s budget %.1f\n", m.recovery.complete, m.openCount, m.now, m.budget.tokens)
	for _, j := range m.sortedJobs() {
		fmt.Fprintf(&b, "%s %s phase %d code %s cancelled %t expired %t confirms %d/%d accepted %d starting %d ended %d wake %s waiters %v gang %+v\n",
			j.key.Request, j.request.Kind(), j.phase, j.outcome.Code(), j.cancelled, j.expired, j.confirmCount, j.notStartedCount, j.acceptedRecord, j.startRecord, j.endRecord, j.timerAt, j.waiters, j.gang)
		for _, t := range j.tasks {
			fmt.Fprintf(&b, "  %d state %d attempt %x group %s bids %v retry %s resend %s stopping %t unpaid %t code %s\n",
				t.index, t.state, t.attempt, t.group, t.bids, t.retryAt, t.resendAt, t.stopping, t.needsBudget, t.outcome.Code())
		}
	}
	return b.String()
}

package scheduler

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"chervilhollow/order"
)

// Guards against a job whose number of tasks overflows: it was accepted, and
// the owner of the cell then created tasks until its memory ran out.
func TestRefusesTaskCountsThatOverflow(t *testing.T) {
	for name, spec := range map[string]order.JobSpec{
		"product":     order.JobSpec{}.WithSteps([]order.JobStep{smallStep(2)}).WithRepeats(1 << 62),
		"sum":         order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1), smallStep(1)}).WithRepeats(math.MaxInt64),
		"tasks":       order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1 << 62)}).WithRepeats(2),
		"occurrences": order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}).WithRepeats(maxTasks + 1),
		"negative":    order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}).WithRepeats(-1),
	} {
		t.Run(name, func(t *testing.T) {
			code, _ := validateSpec(spec)
			is.New(t).Equal(code, order.Malformed)
		})
	}
}

package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
)

const (
	urgentQueue = "previews"
	urgentPath  = "/previews/"
)

// configureTwoQueues sets an urgent queue with a tight objective and one that
// has seconds to spare.
func (d *driver) configureTwoQueues() {
	team := policy.NewTeam(testTeam, []string{testKey}, 0, order.Resources{})
	d.feed(NewConfigMsg(policy.NewConfig(1, []policy.Queue{
		policy.NewQueue(testQueue, testHost, "/proofs/", "press").WithPriority(2).WithObjective(4, 3*time.Second),
		policy.NewQueue(urgentQueue, testHost, urgentPath, "press").WithPriority(0).WithObjective(1.5, 250*time.Millisecond),
	}, []policy.Team{team}), nil))
}

// submitTo submits a job to the queue with the path.
func (d *driver) submitTo(path string, number int, steps ...order.JobStep) {
	d.feed(NewCallMsg("client", order.JobCallMsg{}.WithCall(uint64(1000+number)).WithVerb(order.SubmitJob).WithHost(testHost).
		WithPath(path+string(jobID(number))).WithKey(testKey).WithSpec(order.JobSpec{}.WithSteps(steps))))
}

// startedOf counts the starts that were sent for the job.
func (d *driver) startedOf(job order.JobID) int {
	n := 0
	for _, c := range d.commands {
		if s, ok := c.(StartCmd); ok && s.order.task.job == job {
			n++
		}
	}
	return n
}

// A burst of proofs that could wait must not take the last free cores: each
// preview that arrives then must start at once, and the proofs must still start
// in time.
func TestLeavesHeadroomForUrgentQueue(t *testing.T) {
	d := newAdviceDriver(t, policy.Advice{}, 0, 24)
	d.configureTwoQueues()
	d.submitTo("/proofs/", 1, smallStep(24*8)) // as many tasks as there is room for
	d.commitAll()
	proofs := d.startedOf(jobID(1))
	d.is.True(proofs >= 24*8*9/10) // nearly all start
	d.is.True(proofs < 24*8)
	preview := order.JobStep{}.WithTasks(2).WithSize(order.NewResources(4000, 1<<20, 0)).WithEstimate(time.Second)
	d.submitTo(urgentPath, 2, preview)
	d.commitAll()
	d.is.Equal(d.startedOf(jobID(2)), 2)
	// The objective of the proofs is 4 * 1 s + 3 s.
	d.advance(7*time.Second - smallStep(1).Estimate() - minHeadroomSlack)
	d.is.True(d.startedOf(jobID(1)) > proofs)
}

// Without a more urgent queue at the service, no capacity is left unused.
func TestFillsServiceOfOneQueue(t *testing.T) {
	d := newAdviceDriver(t, policy.Advice{}, 0, 24)
	d.submit(1, smallStep(24*8))
	d.commitAll()
	d.is.Equal(d.startedOf(jobID(1)), 24*8)
}

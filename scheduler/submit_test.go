package scheduler

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/policy"
	"chervilhollow/storage"
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

// Guards against an accepted job that can't be stored: its caller got no answer
// or the cell failed, and each owner that got the call again failed too.
func TestRefusesJobsThatCannotBeStored(t *testing.T) {
	step := []order.JobStep{smallStep(1)}
	for name, c := range map[string]struct {
		spec order.JobSpec
		want order.Code
	}{
		"time":      {order.JobSpec{}.WithSteps(step).WithRepeats(1).WithFirst(time.UnixMilli(math.MaxInt64)), order.Malformed},
		"not UTF-8": {order.JobSpec{}.WithSteps(step).WithPayload("\xff"), order.Malformed},
		"size":      {order.JobSpec{}.WithSteps(step).WithPayload(strings.Repeat("p", storage.MaxValue)), order.BodyTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, testEpoch)
			d.m.registry.SetStrict(false)
			d.configure(policy.Advice{}, order.Resources{})
			d.feed(NewCallMsg("client", order.JobCallMsg{}.WithCall(7).WithVerb(order.SubmitJob).WithHost(testHost).
				WithPath("/proofs/"+testJob).WithKey(testKey).WithSpec(c.spec)))
			r, replied := d.takeReply()
			d.is.True(replied)
			d.is.Equal(r.Code(), c.want)
			d.advance(2 * flushInterval)
			_, stored := d.takeCommit()
			d.is.True(!stored)
		})
	}
}

// Guards against one stored job that can't be read and keeps every later owner
// from taking the cell over.
func TestTakesOverBesideUnreadableJob(t *testing.T) {
	good, err := newJob(jobID(1), testQueue, testTeam, order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}), testStart, 1).record().MarshalCBOR()
	is.New(t).NoErr(err)
	endless, err := order.JobRecord{}.WithID(testJob).WithSpec(order.JobSpec{}.WithSteps([]order.JobStep{smallStep(2)}).WithRepeats(1 << 62)).MarshalCBOR()
	is.New(t).NoErr(err)
	for name, value := range map[string][]byte{
		"empty":            nil,
		"not CBOR":         []byte("{}"),
		"nesting":          bytes.Repeat([]byte{0x81}, 1<<20),
		"of another job":   good,
		"too many tasks":   endless,
		"without any step": {0xa0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 2)
			d.configure(policy.Advice{}, order.Resources{})
			d.m.Restore([]storage.Entry{
				storage.NewEntry(jobKey(testJob), value, 5), storage.NewEntry(jobKey(jobID(1)), good, 6),
			})
			d.is.Equal(len(d.m.active), 1)
			d.addWorkers("w1")
			d.commitAll()
			s, started := d.takeStart()
			d.is.True(started)
			d.is.Equal(s.order.task.job, jobID(1))
			for _, verb := range []order.JobVerb{order.SubmitJob, order.JobStatus, order.CancelJob} {
				d.call(verb, smallStep(1))
				r, replied := d.takeReply()
				d.is.True(replied)
				d.is.Equal(r.Code(), order.OutcomeUnknown)
			}
		})
	}
}

// Guards against a stored list of workers that can't be read and keeps every
// later owner from taking the cell over, or that is taken for an empty one.
func TestWaitsForLeasesWithoutListOfWorkers(t *testing.T) {
	d := newDriver(t, 2)
	d.configure(policy.Advice{}, order.Resources{})
	value, err := newJob(jobID(1), testQueue, testTeam, order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}), testStart, 1).record().MarshalCBOR()
	d.is.NoErr(err)
	d.m.Restore(entries(jobKey(jobID(1)), value))
	d.m.RestoreWorkers(storage.NewEntry(WorkersKey, []byte("{}"), 5))
	d.addWorkers("w1")
	_, started := d.takeStart()
	d.is.True(!started)                                        // another worker may run the task
	d.is.Equal(d.m.journal.workersVersion, storage.Version(5)) // the next owner must wait too
	d.advance(maxLeaseTime(d.m.limits.maxLease))
	d.commitAll()
	d.advance(time.Second)
	s, started := d.takeStart()
	d.is.True(started)
	d.is.Equal(s.order.to.worker, order.WorkerID("w1"))
	d.is.Equal(d.m.journal.workersVersion, d.version) // the list is stored again
}

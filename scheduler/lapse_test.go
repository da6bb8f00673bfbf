package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
)

// A worker that fell silent before a partition must not count as lapsed by its old owner, as the new one may have renewed its leases.
func TestSilentWorkerIsNotLapsedForOwnerWithoutStore(t *testing.T) {
	for _, silence := range []time.Duration{3500 * time.Millisecond, 4500 * time.Millisecond, 5500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			ids := []order.WorkerID{"a1", "b1", "b2", "c1", "c2"}
			f := newFleet(ids...)
			inside := func(id order.WorkerID) bool { return id[0] == 'c' }
			o := newFleetOwner(t, f, 1)
			o.configure(policy.Advice{}, order.Resources{})
			o.list(ids...)
			play := func(length time.Duration, owners ...*fleetOwner) {
				for end := f.now.Add(length); f.now.Before(end); {
					f.advance()
					for _, owner := range owners {
						owner.step()
					}
				}
			}
			play(time.Second, o)
			o.call(order.SubmitJob, smallStep(20))
			value, err := o.m.jobs[testJob].record().MarshalCBOR()
			o.is.NoErr(err)
			play(time.Second, o)
			o.is.Equal(len(f.runs), 20)

			o.reaches = func(id order.WorkerID) bool { return id != "b1" }
			play(silence, o)
			o.unconfirmed, o.reaches = true, inside
			play(time.Second, o)
			n := newFleetOwner(t, f, 2)
			n.reaches = func(id order.WorkerID) bool { return !inside(id) }
			n.m.Restore(entries(jobKey(testJob), value))
			var records []order.WorkerRecord
			for _, id := range ids {
				records = append(records, order.WorkerRecord{}.WithID(id).WithAddress("10.0.1.1:80").WithService("press"))
			}
			list, err := order.WorkerList{}.WithWorkers(records).MarshalCBOR()
			n.is.NoErr(err)
			n.m.RestoreWorkers(entries(WorkersKey, list)[0])
			n.list(ids...)
			n.configure(policy.Advice{}, order.Resources{})
			play(12*time.Second, o, n)
			if len(f.broken) > 0 {
				t.Errorf("%d starts of tasks that were running or done, first: %s", len(f.broken), f.broken[0])
			}
		})
	}
}

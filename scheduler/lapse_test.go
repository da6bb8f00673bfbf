package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
)

// A worker that fell silent before a partition must not count as lapsed by its old owner, as the new one may have renewed its leases.
func TestSilentWorkerIsNotLapsedForOwnerWithoutStore(t *testing.T) {
	for _, silence := range []time.Duration{3500 * time.Millisecond, 4500 * time.Millisecond, 5500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			ids := []order.WorkerID{"a1", "b1", "b2", "c1", "c2"}
			f := newFleet(ids...)
			inside := func(id order.WorkerID) bool { return id[0] == 'c' }
			o, job := startFirstOwner(t, f, ids, smallStep(20))
			o.reaches = func(id order.WorkerID) bool { return id != "b1" }
			f.play(silence, o)
			o.unconfirmed, o.reaches = true, inside
			f.play(time.Second, o)
			n := startSuccessor(t, f, ids, job)
			n.reaches = func(id order.WorkerID) bool { return !inside(id) }
			f.play(12*time.Second, o, n)
			f.check(t)
		})
	}
}

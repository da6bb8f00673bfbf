package harbour

import (
	"sync"
	"sync/atomic"
	"time"

	"chervilhollow/order"
)

type (
	// deadlines says until when this process may act. It is written by the
	// event loop and read by any goroutine.
	deadlines struct {
		base  time.Time
		limit atomic.Int64
		holds atomic.Pointer[map[order.PartitionID]*hold]
	}

	// hold is the permission to act for one partition at one epoch. Times are
	// nanoseconds after the base.
	hold struct {
		epoch order.Epoch
		until atomic.Int64
	}

	// directory says who owns which partition.
	directory struct {
		mu      sync.RWMutex
		records map[order.PartitionID]Record
	}
)

func newDeadlines(base time.Time) *deadlines {
	d := &deadlines{base: base}
	d.publish(nil)
	return d
}

// until returns the end of the permission, in nanoseconds after the base.
func (d *deadlines) until(id order.PartitionID, epoch order.Epoch) int64 {
	h := (*d.holds.Load())[id]
	if h == nil || h.epoch != epoch {
		return 0
	}
	return min(h.until.Load(), d.limit.Load())
}

func (d *deadlines) publish(holds map[order.PartitionID]*hold) {
	d.holds.Store(&holds)
}

func (d *deadlines) setLimit(at time.Time) { d.limit.Store(int64(at.Sub(d.base))) }

func (d *deadlines) set(h *hold, at time.Time) {
	if at.IsZero() {
		h.until.Store(0)
		return
	}
	h.until.Store(int64(at.Sub(d.base)))
}

func newDirectory() *directory {
	return &directory{records: make(map[order.PartitionID]Record)}
}

func (d *directory) set(id order.PartitionID, r Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records[id] = r
}

func (d *directory) get(id order.PartitionID) (Record, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r, ok := d.records[id]
	return r, ok
}

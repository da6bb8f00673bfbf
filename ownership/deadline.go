package ownership

import (
	"sync"
	"sync/atomic"
	"time"

	"chervilhollow/order"
)

type (
	// deadlines holds the times until which this process may act. The event
	// loop writes it and any goroutine may read it.
	deadlines struct {
		base         time.Time
		processLimit atomic.Int64
		permissions  atomic.Pointer[map[order.PartitionID]*permission]
	}

	// permission allows this process to act for one partition at one epoch.
	// Times are in nanoseconds after the base.
	permission struct {
		epoch order.Epoch
		until atomic.Int64
	}

	// directory holds the last known record of each partition. Any goroutine
	// may use it.
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

// until returns when the permission ends, in nanoseconds after the base. It is
// zero without a permission for that epoch.
func (d *deadlines) until(id order.PartitionID, epoch order.Epoch) int64 {
	h := (*d.permissions.Load())[id]
	if h == nil || h.epoch != epoch {
		return 0
	}
	return min(h.until.Load(), d.processLimit.Load())
}

func (d *deadlines) publish(permissions map[order.PartitionID]*permission) {
	d.permissions.Store(&permissions)
}

// setProcessLimit sets until when the process may act for any partition.
func (d *deadlines) setProcessLimit(at time.Time) { d.processLimit.Store(int64(at.Sub(d.base))) }

// set changes when a permission ends. The zero time revokes it.
func (d *deadlines) set(h *permission, at time.Time) {
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

package entryhost

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/scheduler"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// Guards against a planned stop that doesn't return its settled leases, and against a sudden one that does.
func TestOnlyPausedCellEndsSettled(t *testing.T) {
	for name, planned := range map[string]bool{"planned": true, "sudden": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			h := New("10.0.0.1:7000", "quay", "a secret of sixteen",
				NewDependencies(storage.NewMemory(timers.New()), &pollRecorder{polled: make(chan order.WorkerID, 1)}, nil, workerDecoder{}),
				scheduler.NewLimits(10*time.Second, time.Minute), timers.New(), gauge.New(zerolog.Nop()), zerolog.Nop())
			acquired := claim(ctx, t, h.elector)
			h.startCell(acquired)
			h.awaitCell(ctx)
			want := order.Epoch(0)
			if planned {
				began := time.Now()
				h.settleCell()
				is.True(time.Since(began) < settleTimeout)
				want = acquired.Epoch()
			}
			is.Equal(h.stopCell(), want)
		})
	}
}

// awaitCell waits until the cell is recovered, or the context ends.
func (h *Host) awaitCell(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		running := h.runner != nil
		h.mu.Unlock()
		if running {
			return
		}
		time.Sleep(settleInterval)
	}
}

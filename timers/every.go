package timers

import (
	"context"
	"time"
)

// Every calls the function once per period until the context ends, and then
// returns. Ticks that come while the function runs are dropped, except for one.
func Every(ctx context.Context, clock Clock, period time.Duration, do func(now time.Time)) {
	ticks := clock.Subscribe(period)
	defer ticks.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks.C():
			do(now)
		}
	}
}

package tide

import (
	"context"
	"time"
)

// Every calls the function at each tick of the period until the context ends.
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

package yard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chervilhollow/depot"
)

const (
	// commitTimeout is how long the first try of a batch may take, since the
	// answer of a store slowed 60 times comes after 240 ms; each further try
	// may take twice as long, up to commitTimeoutMost.
	commitTimeout     = 300 * time.Millisecond
	commitTimeoutMost = 2400 * time.Millisecond

	// commitRetry is the first delay before a batch that was not stored is sent
	// again; it doubles up to commitRetryMost.
	commitRetry     = 40 * time.Millisecond
	commitRetryMost = 160 * time.Millisecond

	// commitLogEvery is how many failed tries a line is logged for.
	commitLogEvery = 8
)

// commit sends a batch until it is certain whether it is in the store.
func (c *Cell) commit(ctx context.Context, command CommitCmd) {
	uncertain := false
	delay, timeout := commitRetry, commitTimeout
	for try := 0; ctx.Err() == nil; try++ {
		version, err := c.tryCommit(ctx, command.batch, timeout)
		timeout = min(2*timeout, commitTimeoutMost)
		var conflict *depot.ConflictError
		switch {
		case err == nil:
			c.troubled.Store(nil)
			c.input(ctx, CommittedMsg{flight: command.flight, version: version})
			return
		case errors.As(err, &conflict):
			version, err = resolve(command.batch, conflict, uncertain)
			if err != nil {
				c.fail(err)
				return
			}
			c.input(ctx, CommittedMsg{flight: command.flight, version: version})
			return
		case errors.Is(err, depot.ErrUncertain):
			uncertain = true
		case !errors.Is(err, depot.ErrUnavailable):
			c.fail(fmt.Errorf("commit: %w", err))
			return
		}
		now := c.clock.Now()
		c.troubled.CompareAndSwap(nil, &now)
		if try%commitLogEvery == 0 {
			c.log.Warn().Err(err).Int("writes", len(command.batch.Writes())).Bool("uncertain", uncertain).
				Int("try", try+1).Msg("yard: batch not stored yet")
		}
		select {
		case <-c.clock.After(delay):
		case <-ctx.Done():
		}
		delay = min(2*delay, commitRetryMost)
	}
}

func (c *Cell) tryCommit(ctx context.Context, batch depot.Batch, timeout time.Duration) (depot.Version, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.store.Commit(limited, batch)
}

// StoreTrouble returns for how long no batch has been stored though some were
// sent.
func (c *Cell) StoreTrouble() time.Duration {
	since := c.troubled.Load()
	if since == nil {
		return 0
	}
	return c.clock.Now().Sub(*since)
}

// resolve tells what a conflict means. After an attempt without an answer it
// may show the batch itself.
func resolve(batch depot.Batch, conflict *depot.ConflictError, uncertain bool) (depot.Version, error) {
	current := make(map[string]depot.Entry, len(conflict.Current()))
	for _, e := range conflict.Current() {
		current[e.Key()] = e
	}
	record := batch.Expected()[0]
	if held := current[record.Key()]; held.Version() != record.Version() {
		return 0, ErrLost
	}
	if !uncertain {
		return 0, errDiverged
	}
	var version depot.Version
	for _, w := range batch.Writes() {
		held := current[w.Key()]
		if string(held.Value()) != string(w.Value()) {
			return 0, errDiverged
		}
		version = held.Version()
	}
	return version, nil
}

func (c *Cell) fail(err error) {
	select {
	case c.failed <- err:
	default:
	}
}

package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chervilhollow/storage"
)

const (
	// firstCommitTimeout is the timeout of a batch's first attempt; a store
	// slowed down 60 times responds after 240 ms. It doubles with each further
	// attempt, up to maxCommitTimeout.
	firstCommitTimeout = 300 * time.Millisecond
	maxCommitTimeout   = 2400 * time.Millisecond

	// minCommitBackoff is the delay before a batch that was not stored is sent
	// again. It doubles up to maxCommitBackoff.
	minCommitBackoff = 40 * time.Millisecond
	maxCommitBackoff = 160 * time.Millisecond

	// commitLogEvery is how many failed attempts there are per log line.
	commitLogEvery = 8
)

// commit sends a batch, with backoff, until it is certain whether the store has
// it. A conflict that the batch itself didn't cause, or any other permanent
// error, fails the cell.
func (r *Runner) commit(ctx context.Context, cmd CommitCmd) {
	uncertain := false
	delay, timeout := minCommitBackoff, firstCommitTimeout
	for try := 0; ctx.Err() == nil; try++ {
		version, err := r.tryCommit(ctx, cmd.batch, timeout)
		timeout = min(2*timeout, maxCommitTimeout)
		var conflict *storage.ConflictError
		switch {
		case err == nil:
			r.failingSince.Store(nil)
			r.deliver(ctx, CommittedMsg{batchID: cmd.batchID, version: version})
			return
		case errors.As(err, &conflict):
			version, err = resolveConflict(cmd.batch, conflict, uncertain)
			if err != nil {
				r.fail(err)
				return
			}
			r.deliver(ctx, CommittedMsg{batchID: cmd.batchID, version: version})
			return
		case errors.Is(err, storage.ErrUncertain):
			uncertain = true
		case !errors.Is(err, storage.ErrUnavailable):
			r.fail(fmt.Errorf("commit: %w", err))
			return
		}
		now := r.clock.Now()
		r.failingSince.CompareAndSwap(nil, &now)
		if try%commitLogEvery == 0 {
			r.log.Warn().Err(err).Int("writes", len(cmd.batch.Writes())).Bool("uncertain", uncertain).
				Int("try", try+1).Msg("yard: batch not stored yet")
		}
		select {
		case <-r.clock.After(delay):
		case <-ctx.Done():
		}
		delay = min(2*delay, maxCommitBackoff)
	}
}

// tryCommit sends the batch once.
func (r *Runner) tryCommit(ctx context.Context, batch storage.Batch, timeout time.Duration) (storage.Version, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.store.Commit(limited, batch)
}

// StoreFailingFor returns the time since the first commit that failed after the
// last one that succeeded, and zero if none failed since. It may be called from
// any goroutine.
func (r *Runner) StoreFailingFor() time.Duration {
	since := r.failingSince.Load()
	if since == nil {
		return 0
	}
	return r.clock.Now().Sub(*since)
}

// resolveConflict returns the version at which the batch was stored despite a
// conflict: after an attempt without a response, the store may already have the
// batch itself. It returns ErrLost if the ownership record has changed, and
// errDiverged if other keys have.
func resolveConflict(batch storage.Batch, conflict *storage.ConflictError, uncertain bool) (storage.Version, error) {
	current := make(map[string]storage.Entry, len(conflict.Current()))
	for _, e := range conflict.Current() {
		current[e.Key()] = e
	}
	record := batch.Expected()[0]
	if stored := current[record.Key()]; stored.Version() != record.Version() {
		return 0, ErrLost
	}
	if !uncertain {
		return 0, errDiverged
	}
	var version storage.Version
	for _, w := range batch.Writes() {
		stored := current[w.Key()]
		if string(stored.Value()) != string(w.Value()) {
			return 0, errDiverged
		}
		version = stored.Version()
	}
	return version, nil
}

// fail makes Run return the error. Only the first errors are kept.
func (r *Runner) fail(err error) {
	select {
	case r.failed <- err:
	default:
	}
}

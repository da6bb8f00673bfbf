package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chervilhollow/storage"
)

type (
	// commitResult is the result of one attempt to store a batch, which was sent
	// at sentAt, when the machine had been suspended for the given time.
	commitResult struct {
		version   storage.Version
		err       error
		sentAt    time.Time
		suspended time.Duration
	}
)

const (
	// commitRepeatDelay is how long an attempt may have no response before the
	// batch is sent again, while the earlier attempt goes on. A store slowed
	// down 60 times responds after 240 ms.
	commitRepeatDelay = 300 * time.Millisecond

	// commitTimeout is the timeout of an attempt. It allows for a store slowed
	// down 200 times. Up to three attempts of a batch are open at a time.
	commitTimeout = 900 * time.Millisecond

	// minCommitBackoff is the delay before a batch is sent again after an
	// attempt that failed. It doubles up to maxCommitBackoff.
	minCommitBackoff = 40 * time.Millisecond
	maxCommitBackoff = 160 * time.Millisecond

	// commitLogEvery is how many failed attempts there are per log line.
	commitLogEvery = 8
)

// commit sends a batch until it is certain whether the store has it. An attempt
// without a response is followed by another one, so that the batch is stored
// soon after the store responds again. A conflict that the batch itself didn't
// cause, or any other permanent error, fails the cell.
func (r *Runner) commit(ctx context.Context, cmd CommitCmd) {
	// uncertain counts the attempts that may have stored the batch: those
	// without a response so far, and those that failed in such a way.
	uncertain := 0
	results := make(chan commitResult)
	done := make(chan struct{})
	defer close(done)
	attempt := func() {
		uncertain++
		r.spawn(func() {
			res := r.tryCommit(ctx, cmd.batch)
			select {
			case results <- res:
			case <-done:
			}
		})
	}
	attempt()
	delay, failures := minCommitBackoff, 0
	next := r.clock.After(commitRepeatDelay)
	for {
		select {
		case res := <-results:
			var conflict *storage.ConflictError
			switch {
			case errors.As(res.err, &conflict):
				res.version, res.err = resolveConflict(cmd.batch, conflict, uncertain > 1)
				if res.err != nil {
					r.fail(res.err)
					return
				}
			case errors.Is(res.err, storage.ErrUnavailable):
				uncertain--
			case res.err != nil && !errors.Is(res.err, storage.ErrUncertain):
				r.fail(fmt.Errorf("commit: %w", res.err))
				return
			}
			if res.err == nil {
				r.failingSince.Store(nil)
				r.deliver(ctx, CommittedMsg{batchID: cmd.batchID, version: res.version, sentAt: res.sentAt, suspended: res.suspended})
				return
			}
			r.recordFailing()
			r.logFailedCommit(cmd, res.err, failures, uncertain)
			failures++
			next = r.clock.After(delay)
			delay = min(2*delay, maxCommitBackoff)
		case <-next:
			r.recordFailing()
			attempt()
			next = r.clock.After(commitRepeatDelay)
		case <-ctx.Done():
			return
		}
	}
}

// recordFailing records since when commits fail.
func (r *Runner) recordFailing() {
	now := r.clock.Now()
	r.failingSince.CompareAndSwap(nil, &now)
}

// logFailedCommit logs the first failure of a batch and every commitLogEvery-th
// further one.
func (r *Runner) logFailedCommit(cmd CommitCmd, err error, failures, uncertain int) {
	if failures%commitLogEvery == 0 {
		r.log.Warn().Err(err).Int("writes", len(cmd.batch.Writes())).Int("uncertain", uncertain).
			Int("try", failures+1).Msg("yard: batch not stored yet")
	}
}

// tryCommit sends the batch once.
func (r *Runner) tryCommit(ctx context.Context, batch storage.Batch) commitResult {
	limited, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	res := commitResult{sentAt: r.clock.Now(), suspended: r.clock.Suspended()}
	res.version, res.err = r.store.Commit(limited, batch)
	return res
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

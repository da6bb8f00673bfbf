package sheet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// Base is a configuration as it was read from the store, with the version
	// of the root record. Editor.Apply fails with a conflict if that version
	// is no longer the current one.
	Base struct {
		root    rootRecord
		version storage.Version
		config  *Config
	}

	// retryBackoff waits between retries, with exponential backoff and jitter.
	retryBackoff struct {
		clock   timers.Clock
		backoff *backoff.ExponentialBackOff
	}
)

const (
	initialRetryDelay = 50 * time.Millisecond

	// maxRetryDelay and its jitter are short enough for a change to reach all
	// processes within 3 s after an outage of the store.
	maxRetryDelay = time.Second

	// maxReadAttempts is how often the root record is read if its snapshot is
	// deleted before it is read.
	maxReadAttempts = 5
)

var (
	errSnapshotMissing = errors.New("snapshot not found")

	// ErrCorrupt reports a root record or snapshot that cannot be decoded, or
	// records that do not match each other.
	ErrCorrupt = errors.New("configuration in the store is corrupt")
)

// Config returns the configuration of the base's revision.
func (b Base) Config() *Config { return b.config }

// Changes returns the changes since the last snapshot, oldest first. The slice
// must not be changed.
func (b Base) Changes() []Change { return b.root.changes }

// readBase reads the root record and its snapshot, and replays the changes. It
// skips the snapshot if the cached configuration is at least as new.
func readBase(ctx context.Context, store storage.Store, cached *Config) (Base, error) {
	var err error
	for range maxReadAttempts {
		var entry storage.Entry
		entry, err = store.Get(ctx, rootKey)
		if err != nil {
			return Base{}, fmt.Errorf("read configuration: %w", err)
		}
		var base Base
		base, err = buildBase(ctx, store, cached, entry)
		if !errors.Is(err, errSnapshotMissing) {
			return base, err
		}
	}
	return Base{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
}

// buildBase builds the configuration of a root entry, from the cached one if
// that is between the revisions of the snapshot and of the root record.
func buildBase(ctx context.Context, store storage.Store, cached *Config, entry storage.Entry) (Base, error) {
	if !entry.Exists() {
		return Base{config: NewConfig(0)}, nil
	}
	r, err := decodeRoot(entry.Value())
	if err != nil {
		return Base{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	from := cached
	if cached.revision < r.snapshot || cached.revision > r.revision {
		if from, err = readSnapshotConfig(ctx, store, r.snapshot); err != nil {
			return Base{}, err
		}
	}
	config, err := r.replay(from)
	if err != nil {
		return Base{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return Base{root: r, version: entry.Version(), config: config}, nil
}

// readSnapshotConfig returns the empty configuration for revision zero, which
// has no snapshot.
func readSnapshotConfig(ctx context.Context, store storage.Store, revision order.Revision) (*Config, error) {
	if revision == 0 {
		return NewConfig(0), nil
	}
	s, err := readSnapshot(ctx, store, revision)
	if err != nil {
		return nil, err
	}
	return s.config, nil
}

func readSnapshot(ctx context.Context, store storage.Store, revision order.Revision) (snapshot, error) {
	entry, err := store.Get(ctx, snapshotKey(revision))
	if err != nil {
		return snapshot{}, fmt.Errorf("read snapshot %d: %w", revision, err)
	}
	if !entry.Exists() {
		return snapshot{}, fmt.Errorf("read snapshot %d: %w", revision, errSnapshotMissing)
	}
	s, err := decodeSnapshot(entry.Value())
	if err != nil {
		return snapshot{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return s, nil
}

// changesSince returns the changes after the revision, oldest first. It reads
// older snapshots as far as needed. The oldest changes are missing if their
// snapshots were deleted.
func changesSince(ctx context.Context, store storage.Store, r rootRecord, since order.Revision) ([]Change, error) {
	changes := r.changes
	snapshots := append([]order.Revision(nil), r.olderSnapshots...)
	snapshots = append(snapshots, r.snapshot)
	for i := len(snapshots) - 1; i >= 0 && snapshots[i] > since; i-- {
		s, err := readSnapshot(ctx, store, snapshots[i])
		if errors.Is(err, errSnapshotMissing) {
			break
		}
		if err != nil {
			return nil, err
		}
		changes = append(append([]Change(nil), s.changes...), changes...)
	}
	for len(changes) > 0 && changes[0].revision <= since {
		changes = changes[1:]
	}
	return changes, nil
}

func newRetryBackoff(clock timers.Clock) *retryBackoff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryDelay
	b.MaxInterval = maxRetryDelay
	return &retryBackoff{clock: clock, backoff: b}
}

func (r *retryBackoff) reset() { r.backoff.Reset() }

// wait waits for the next retry. It returns an error if the context ends first.
func (r *retryBackoff) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.clock.After(r.backoff.NextBackOff()):
		return nil
	}
}

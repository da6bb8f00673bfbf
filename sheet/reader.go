package sheet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Base is a configuration as it was read from the store. A change is made
	// to a base and fails if the store has moved on.
	Base struct {
		root    root
		version depot.Version
		config  *Config
	}

	// pause waits between two attempts, with exponential backoff and jitter.
	pause struct {
		clock   tide.Clock
		backoff *backoff.ExponentialBackOff
	}
)

const (
	firstPause = 50 * time.Millisecond

	// longPause with its jitter leaves time, after an outage of the store,
	// for a change to be everywhere within 3 s.
	longPause = time.Second

	// loadAttempts bounds how often a root record is read again whose
	// snapshot was replaced in between.
	loadAttempts = 5
)

var (
	errSnapshotMissing = errors.New("snapshot missing")

	// ErrDamaged reports a configuration in the store that cannot be read.
	ErrDamaged = errors.New("configuration in the store is damaged")
)

// Config returns the configuration.
func (b Base) Config() *Config { return b.config }

// Changes returns the changes since the last snapshot, oldest first.
func (b Base) Changes() []Change { return b.root.changes }

// readBase reads the root record and what it takes to build its
// configuration. It starts from the known configuration if that is new
// enough.
func readBase(ctx context.Context, store depot.Store, known *Config) (Base, error) {
	var err error
	for range loadAttempts {
		var entry depot.Entry
		entry, err = store.Get(ctx, rootKey)
		if err != nil {
			return Base{}, fmt.Errorf("read configuration: %w", err)
		}
		var base Base
		base, err = baseOf(ctx, store, known, entry)
		if !errors.Is(err, errSnapshotMissing) {
			return base, err
		}
	}
	return Base{}, fmt.Errorf("%w: %w", ErrDamaged, err)
}

// baseOf builds the configuration of a root entry.
func baseOf(ctx context.Context, store depot.Store, known *Config, entry depot.Entry) (Base, error) {
	if !entry.Exists() {
		return Base{config: NewConfig(0)}, nil
	}
	r, err := decodeRoot(entry.Value())
	if err != nil {
		return Base{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	start := known
	if known.revision < r.snapshot || known.revision > r.revision {
		if start, err = readStart(ctx, store, r.snapshot); err != nil {
			return Base{}, err
		}
	}
	config, err := r.fold(start)
	if err != nil {
		return Base{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return Base{root: r, version: entry.Version(), config: config}, nil
}

func readStart(ctx context.Context, store depot.Store, revision order.Revision) (*Config, error) {
	if revision == 0 {
		return NewConfig(0), nil
	}
	s, err := readSnapshot(ctx, store, revision)
	if err != nil {
		return nil, err
	}
	return s.config, nil
}

func readSnapshot(ctx context.Context, store depot.Store, revision order.Revision) (snapshot, error) {
	entry, err := store.Get(ctx, snapshotKey(revision))
	if err != nil {
		return snapshot{}, fmt.Errorf("read snapshot %d: %w", revision, err)
	}
	if !entry.Exists() {
		return snapshot{}, fmt.Errorf("read snapshot %d: %w", revision, errSnapshotMissing)
	}
	s, err := decodeSnapshot(entry.Value())
	if err != nil {
		return snapshot{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return s, nil
}

// changesSince returns the changes after the revision, in order. It goes back
// through the kept snapshots as far as needed; if they do not reach back that
// far, the oldest changes are missing.
func changesSince(ctx context.Context, store depot.Store, r root, since order.Revision) ([]Change, error) {
	changes := r.changes
	snapshots := append([]order.Revision(nil), r.older...)
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

func newPause(clock tide.Clock) *pause {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstPause
	b.MaxInterval = longPause
	return &pause{clock: clock, backoff: b}
}

func (p *pause) reset() { p.backoff.Reset() }

func (p *pause) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.clock.After(p.backoff.NextBackOff()):
		return nil
	}
}

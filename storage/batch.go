package storage

import (
	"context"
	"fmt"
)

type (
	// Write sets one key of a batch. Its lease is zero if the key has none.
	Write struct {
		key   string
		value []byte
		lease LeaseID
	}

	// Batch is a set of conditions and changes. The store makes all changes or
	// none. The zero value is empty.
	Batch struct {
		expected []Entry
		writes   []Write
		deletes  []string
	}

	// Batcher is a Store that also commits batches.
	Batcher interface {
		Store

		// Commit makes all changes of the batch, at one version, if every
		// expected key still has its version. Otherwise it returns a
		// *ConflictError.
		Commit(ctx context.Context, batch Batch) (Version, error)
	}

	// ConflictError reports that a batch was not committed because at least one
	// of its conditions doesn't hold. It matches ErrConflict.
	ConflictError struct {
		current []Entry
	}
)

// MaxBatch is the largest number of expectations, writes and deletes together
// in one batch.
const MaxBatch = 32

// NewConflict returns a conflict error with the present entries of all expected
// keys.
func NewConflict(current []Entry) *ConflictError {
	return &ConflictError{current: current}
}

// Expect returns the batch with a condition: the key has the version, or
// doesn't exist if the version is zero.
func (b Batch) Expect(key string, version Version) Batch {
	b.expected = append(b.expected, NewEntry(key, nil, version))
	return b
}

// Put returns the batch with a write. If the lease is not zero, the key is
// deleted when the lease ends.
func (b Batch) Put(key string, value []byte, lease LeaseID) Batch {
	b.writes = append(b.writes, Write{key: key, value: value, lease: lease})
	return b
}

// Remove returns the batch with the deletion of a key.
func (b Batch) Remove(key string) Batch {
	b.deletes = append(b.deletes, key)
	return b
}

// Expected returns the conditions as keys with versions.
func (b Batch) Expected() []Entry { return b.expected }

// Writes returns the keys to be written.
func (b Batch) Writes() []Write { return b.writes }

// Deletes returns the keys to be deleted.
func (b Batch) Deletes() []string { return b.deletes }

// Size returns the number of conditions and changes, which MaxBatch limits.
func (b Batch) Size() int { return len(b.expected) + len(b.writes) + len(b.deletes) }

// Key returns the key to set.
func (w Write) Key() string { return w.key }

// Value returns the new value of the key.
func (w Write) Value() []byte { return w.value }

// Lease returns the lease of the key, or zero.
func (w Write) Lease() LeaseID { return w.lease }

// Current returns the entries of all expected keys at the time of the conflict.
func (e *ConflictError) Current() []Entry { return e.current }

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is reports whether the target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Commit implements Batcher.
func (m *Memory) Commit(ctx context.Context, batch Batch) (Version, error) {
	var version Version
	// A batch counts as one swap, and all its changes get the same version.
	err := m.call(ctx, CallSwap, func() error {
		if err := m.checkBatch(batch); err != nil {
			return err
		}
		m.version++
		version = m.version
		for _, w := range batch.writes {
			m.version = version - 1
			m.put(w.key, w.value, w.lease)
		}
		for _, key := range batch.deletes {
			m.version = version - 1
			m.remove(key)
		}
		m.version = version
		return nil
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// checkBatch returns why the batch can't be committed, or nil.
func (m *Memory) checkBatch(batch Batch) error {
	if batch.Size() > MaxBatch {
		return fmt.Errorf("%w: batch of %d entries", ErrUnavailable, batch.Size())
	}
	current := make([]Entry, 0, len(batch.expected))
	conflict := false
	for _, condition := range batch.expected {
		stored := m.entries[condition.key].entry
		conflict = conflict || stored.version != condition.version
		current = append(current, NewEntry(condition.key, stored.value, stored.version))
	}
	if conflict {
		return NewConflict(current)
	}
	for _, w := range batch.writes {
		if _, ok := m.leases[w.lease]; w.lease != 0 && !ok {
			return fmt.Errorf("commit %s: %w", w.key, ErrLeaseEnded)
		}
	}
	return nil
}

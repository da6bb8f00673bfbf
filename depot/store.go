// Package depot is the client of the platform's key-value store.
package depot

import (
	"context"
	"errors"
	"time"
)

type (
	// LeaseID identifies a lease in the store; zero means none.
	LeaseID int64

	// Version is the store-wide modification number of an entry; zero means
	// that the key does not exist.
	Version int64

	// Entry is one key with its value.
	Entry struct {
		key     string
		value   []byte
		version Version
	}

	// Event is one change that a watch reports.
	Event struct {
		entry   Entry
		deleted bool
	}

	// Store is the platform's key-value store. Each call, a waiting watch
	// included, counts against the store's rate.
	Store interface {
		// Get returns an entry; a missing key gives a zero version.
		Get(ctx context.Context, key string) (Entry, error)

		// List returns all entries below the prefix, in order of key, and the
		// version of the store at that time.
		List(ctx context.Context, prefix string) ([]Entry, Version, error)

		// Swap writes the value if the key still has the expected version;
		// zero expects that it does not exist. A non-zero lease deletes the
		// key when the lease ends.
		Swap(ctx context.Context, key string, expected Version, value []byte, lease LeaseID) (Version, error)

		// Delete removes the key if it still has the expected version.
		Delete(ctx context.Context, key string, expected Version) error

		// Watch returns the changes below the prefix after the version, and
		// the version reached. It waits up to the given time for one, and may
		// return none.
		Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error)

		// Grant makes a lease.
		Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)

		// KeepAlive renews a lease; ErrLeaseEnded tells that it is over.
		KeepAlive(ctx context.Context, lease LeaseID) error

		// Revoke ends a lease and deletes its keys.
		Revoke(ctx context.Context, lease LeaseID) error
	}
)

var (
	// ErrConflict reports that the key has another version than expected.
	ErrConflict = errors.New("the key has another version")

	// ErrUnavailable reports that the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")

	// ErrUncertain reports that a write may have taken effect. The caller
	// reads the key to find out.
	ErrUncertain = errors.New("store answer lost")

	// ErrCompacted reports that a watch starts before the oldest change that
	// the store keeps. The caller lists and watches from there.
	ErrCompacted = errors.New("version compacted")

	// ErrLeaseEnded reports that the lease is over.
	ErrLeaseEnded = errors.New("lease ended")

	// ErrValueTooLarge reports a value above the store's limit.
	ErrValueTooLarge = errors.New("value exceeds the store's limit")
)

// NewEntry returns an entry with the given content.
func NewEntry(key string, value []byte, version Version) Entry {
	return Entry{key: key, value: value, version: version}
}

// NewEvent returns the event of a changed or deleted entry.
func NewEvent(entry Entry, deleted bool) Event {
	return Event{entry: entry, deleted: deleted}
}

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Value returns the value; it must not be changed.
func (e Entry) Value() []byte { return e.value }

// Version returns the version, zero if the key does not exist.
func (e Entry) Version() Version { return e.version }

// Exists reports whether the key exists.
func (e Entry) Exists() bool { return e.version != 0 }

// Entry returns the entry that changed.
func (e Event) Entry() Entry { return e.entry }

// Deleted reports whether the entry was deleted.
func (e Event) Deleted() bool { return e.deleted }

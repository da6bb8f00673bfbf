// Package storage accesses the platform's key-value store, which offers
// versioned entries, leases and watches. Start at the interface Store. Client
// implements it by HTTP and Memory in the process, with faults for tests.
// Follower keeps a handler informed about all entries below a prefix.
package storage

import (
	"context"
	"errors"
	"fmt"
	"time"
)

type (
	// LeaseID identifies a lease in the store. Zero means none.
	LeaseID int64

	// Version is the store-wide number of the change that wrote an entry. Zero
	// means that the key doesn't exist.
	Version int64

	// Entry is one key with its value and version.
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

	// Store is the platform's key-value store. Each call counts against the
	// store's rate limit, a waiting watch as one call.
	Store interface {
		// Get returns an entry. Its version is zero if the key doesn't exist.
		Get(ctx context.Context, key string) (Entry, error)

		// List returns all entries below the prefix, in order of key, and the
		// version of the store at that time.
		List(ctx context.Context, prefix string) ([]Entry, Version, error)

		// Swap writes the value if the key still has the expected version,
		// and returns the new version. Zero expects that the key doesn't
		// exist. If the lease is not zero, the key is deleted when the lease
		// ends.
		Swap(ctx context.Context, key string, expected Version, value []byte, lease LeaseID) (Version, error)

		// Delete removes the key if it still has the expected version.
		Delete(ctx context.Context, key string, expected Version) error

		// Watch returns the changes below the prefix after the version, and
		// the version to continue from. It waits up to the given time for a
		// change, and may return none.
		Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error)

		// Grant creates a lease that expires after the TTL unless it is kept
		// alive.
		Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)

		// KeepAlive renews a lease for its TTL. It returns ErrLeaseEnded if
		// the lease has expired or was revoked.
		KeepAlive(ctx context.Context, lease LeaseID) error

		// Revoke ends a lease and deletes its keys.
		Revoke(ctx context.Context, lease LeaseID) error
	}
)

var (
	// ErrConflict reports that the key has another version than expected, so
	// nothing was written.
	ErrConflict = errors.New("the key has another version")

	// ErrUnavailable reports that the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")

	// ErrUncertain reports that a write may or may not have taken effect. The
	// caller has to read the key to determine which.
	ErrUncertain = errors.New("store answer lost")

	// ErrUnreadable reports an answer to a read that is too large or cannot be
	// decoded. A watch from the same version would get it again, so the caller
	// has to list. It matches ErrUnavailable.
	ErrUnreadable = fmt.Errorf("%w: answer not readable", ErrUnavailable)

	// ErrCompacted reports that a watch starts before the oldest change that
	// the store keeps. The caller has to list, and watch from the version of
	// the list.
	ErrCompacted = errors.New("version compacted")

	// ErrLeaseEnded reports that the lease has expired or was revoked.
	ErrLeaseEnded = errors.New("lease ended")

	// ErrValueTooLarge reports a value longer than MaxValue.
	ErrValueTooLarge = errors.New("value exceeds the store's limit")
)

// NewEntry returns an entry. It keeps the value without copying it.
func NewEntry(key string, value []byte, version Version) Entry {
	return Entry{key: key, value: value, version: version}
}

// NewEvent returns the event of a changed or deleted entry.
func NewEvent(entry Entry, deleted bool) Event {
	return Event{entry: entry, deleted: deleted}
}

// Key returns the key, also if it doesn't exist.
func (e Entry) Key() string { return e.key }

// Value returns the value, which must not be modified.
func (e Entry) Value() []byte { return e.value }

// Version returns the version, or zero if the key doesn't exist.
func (e Entry) Version() Version { return e.version }

// Exists reports whether the key existed when it was read.
func (e Entry) Exists() bool { return e.version != 0 }

// Entry returns the entry after the change. A deleted one has no value, and the
// version of its deletion.
func (e Event) Entry() Entry { return e.entry }

// Deleted reports whether the entry was deleted.
func (e Event) Deleted() bool { return e.deleted }

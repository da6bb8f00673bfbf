package storage

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"chervilhollow/timers"
)

type (
	// Memory is a Store in the memory of the process, for tests and for the
	// test server. The methods in faults.go make its calls fail. It is safe for
	// concurrent use.
	Memory struct {
		clock timers.Clock

		mu           sync.Mutex
		version      Version
		compacted    Version
		retained     int
		historyBytes int
		entries      map[string]memoryEntry
		history      []Event
		leases       map[LeaseID]*memoryLease
		lastLease    LeaseID
		changed      chan struct{}
		delayed      []delayedWrite
		faults       faults
		counts       map[CallKind]int64
	}

	// MemoryOption sets an option of NewMemory.
	MemoryOption func(*Memory)

	memoryEntry struct {
		entry Entry
		lease LeaseID
	}

	// delayedWrite is a write whose context ended before it was executed. It
	// is executed when it is due.
	delayedWrite struct {
		due time.Time
		do  func() error
	}

	memoryLease struct {
		ttl     time.Duration
		expires time.Time
		keys    map[string]struct{}
	}
)

const (
	// MaxValue is the size of the largest value that the store accepts, in
	// bytes.
	MaxValue = 1 << 20

	defaultRetained = 10_000

	// maxRetainedBytes bounds the values in the history, because journal
	// segments may be as large as MaxValue.
	maxRetainedBytes = 64 << 20
)

// WithRetained sets how many changes are kept for watches; the default is
// 10,000. Older ones are compacted.
func WithRetained(changes int) MemoryOption {
	return func(m *Memory) { m.retained = changes }
}

// NewMemory returns an empty store whose leases follow the clock.
func NewMemory(clock timers.Clock, opts ...MemoryOption) *Memory {
	m := &Memory{
		clock:    clock,
		retained: defaultRetained,
		entries:  make(map[string]memoryEntry),
		leases:   make(map[LeaseID]*memoryLease),
		changed:  make(chan struct{}),
		counts:   make(map[CallKind]int64),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Entry, error) {
	var entry Entry
	err := m.call(ctx, CallGet, func() error {
		entry = NewEntry(key, nil, 0)
		if stored, ok := m.entries[key]; ok {
			entry = stored.entry
		}
		return nil
	})
	return entry, err
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]Entry, Version, error) {
	var (
		entries []Entry
		version Version
	)
	err := m.call(ctx, CallList, func() error {
		for key, stored := range m.entries {
			if strings.HasPrefix(key, prefix) {
				entries = append(entries, stored.entry)
			}
		}
		version = m.version
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].key < entries[j].key })
	return entries, version, nil
}

// Swap implements Store.
func (m *Memory) Swap(ctx context.Context, key string, expected Version, value []byte, lease LeaseID) (Version, error) {
	var version Version
	err := m.call(ctx, CallSwap, func() error {
		if err := m.checkSwap(key, expected, value, lease); err != nil {
			return err
		}
		version = m.put(key, value, lease)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, key string, expected Version) error {
	return m.call(ctx, CallDelete, func() error {
		if m.entries[key].entry.version != expected {
			return fmt.Errorf("delete %s: %w", key, ErrConflict)
		}
		m.remove(key)
		return nil
	})
}

// Grant implements Store.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var id LeaseID
	err := m.call(ctx, CallGrant, func() error {
		m.lastLease++
		id = m.lastLease
		m.leases[id] = &memoryLease{
			ttl:     ttl,
			expires: m.clock.Now().Add(ttl),
			keys:    make(map[string]struct{}),
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// KeepAlive implements Store.
func (m *Memory) KeepAlive(ctx context.Context, lease LeaseID) error {
	return m.call(ctx, CallKeepAlive, func() error {
		granted, ok := m.leases[lease]
		if !ok {
			return fmt.Errorf("keep lease %d alive: %w", lease, ErrLeaseEnded)
		}
		granted.expires = m.clock.Now().Add(granted.ttl)
		return nil
	})
}

// Revoke implements Store.
func (m *Memory) Revoke(ctx context.Context, lease LeaseID) error {
	return m.call(ctx, CallRevoke, func() error {
		m.endLease(lease)
		return nil
	})
}

func (m *Memory) checkSwap(key string, expected Version, value []byte, lease LeaseID) error {
	if len(value) > MaxValue {
		return fmt.Errorf("swap %s: %w", key, ErrValueTooLarge)
	}
	if m.entries[key].entry.version != expected {
		return fmt.Errorf("swap %s: %w", key, ErrConflict)
	}
	if _, ok := m.leases[lease]; lease != 0 && !ok {
		return fmt.Errorf("swap %s: %w", key, ErrLeaseEnded)
	}
	return nil
}

func (m *Memory) put(key string, value []byte, lease LeaseID) Version {
	m.detach(key)
	m.version++
	entry := NewEntry(key, append([]byte(nil), value...), m.version)
	m.entries[key] = memoryEntry{entry: entry, lease: lease}
	if lease != 0 {
		m.leases[lease].keys[key] = struct{}{}
	}
	m.record(NewEvent(entry, false))
	return m.version
}

func (m *Memory) remove(key string) {
	if _, ok := m.entries[key]; !ok {
		return
	}
	m.detach(key)
	delete(m.entries, key)
	m.version++
	m.record(NewEvent(NewEntry(key, nil, m.version), true))
}

// detach removes the key from the keys of its lease.
func (m *Memory) detach(key string) {
	if granted, ok := m.leases[m.entries[key].lease]; ok {
		delete(granted.keys, key)
	}
}

func (m *Memory) endLease(id LeaseID) {
	ended, ok := m.leases[id]
	if !ok {
		return
	}
	delete(m.leases, id)
	keys := make([]string, 0, len(ended.keys))
	for key := range ended.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		m.remove(key)
	}
}

// applyDue executes the delayed writes that are due and ends the leases that
// have expired. Every call and every waiting watch runs it, so the store needs
// no goroutine.
func (m *Memory) applyDue() {
	now := m.clock.Now()
	notDue := m.delayed[:0]
	for _, write := range m.delayed {
		if write.due.After(now) {
			notDue = append(notDue, write)
			continue
		}
		_ = write.do()
	}
	m.delayed = notDue
	m.expire()
}

func (m *Memory) expire() {
	now := m.clock.Now()
	var ended []LeaseID
	for id, granted := range m.leases {
		if !granted.expires.After(now) {
			ended = append(ended, id)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i] < ended[j] })
	for _, id := range ended {
		m.endLease(id)
	}
}

// record adds a change to the history, compacts the history to its limits, and
// notifies the waiting watches.
func (m *Memory) record(event Event) {
	m.history = append(m.history, event)
	m.historyBytes += len(event.entry.value)
	for len(m.history) > m.retained || m.historyBytes > maxRetainedBytes {
		oldest := m.history[0].entry
		m.compacted = oldest.version
		m.historyBytes -= len(oldest.value)
		m.history[0] = Event{}
		m.history = m.history[1:]
	}
	m.notifyWatches()
}

func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Compact deletes the history up to now, so that watches from earlier versions
// return ErrCompacted.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compacted = m.version
	m.history = nil
	m.historyBytes = 0
}

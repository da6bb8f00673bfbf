package storage

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/timers"
)

type (
	// Follower lists the entries below a prefix and then watches them.
	Follower struct {
		store   Store
		clock   timers.Clock
		prefix  string
		pause   time.Duration
		log     zerolog.Logger
		handler func(Change)
	}

	// Change is the content of one answer of the store, or the error of a
	// failed call.
	Change struct {
		entries     []Entry
		events      []Event
		snapshot    bool
		version     Version
		requestedAt time.Time
		err         error

		// changedAfter is when the last call before this one that the store
		// answered was sent, and suspended how long the machine had been
		// suspended then.
		changedAfter time.Time
		suspended    time.Duration
	}
)

const (
	// watchWait is how long a watch may wait in the store. It bounds how long
	// changes go unnoticed on a connection that no longer delivers anything.
	watchWait = 2 * time.Second

	// retryDelay is the time before a failed call is repeated. It bounds the
	// calls of one follower in an outage to four a second.
	retryDelay = 250 * time.Millisecond
)

// NewFollower returns a follower of the entries below the prefix. It pauses
// after each answer, so that several changes arrive in one call. The handler
// runs on the goroutine of Run.
func NewFollower(store Store, clock timers.Clock, prefix string, pause time.Duration, log zerolog.Logger, handler func(Change)) *Follower {
	return &Follower{store: store, clock: clock, prefix: prefix, pause: pause, log: log, handler: handler}
}

// Entries returns all entries below the prefix if the change is whole, and nil
// otherwise.
func (c Change) Entries() []Entry { return c.entries }

// Events returns the changes since the last answer. It is nil if the change is
// whole.
func (c Change) Events() []Event { return c.events }

// IsSnapshot reports whether the change lists all entries and so replaces those
// of earlier changes.
func (c Change) IsSnapshot() bool { return c.snapshot }

// Version returns the version of the store that the answer has reached.
func (c Change) Version() Version { return c.version }

// RequestedAt returns when the call was sent. The content is at least as new.
func (c Change) RequestedAt() time.Time { return c.requestedAt }

// ChangedAfter returns a time after which all events of the change happened, and
// how long the machine had been suspended then. The time is zero for a change
// that is whole.
func (c Change) ChangedAfter() (at time.Time, suspended time.Duration) {
	return c.changedAfter, c.suspended
}

// Err returns why the call failed, or nil.
func (c Change) Err() error { return c.err }

// Run lists and watches until the context ends, and returns nil. It passes the
// error of a failed call to the handler and retries.
func (f *Follower) Run(ctx context.Context) error {
	var after Version
	var ahead map[string]Version
	var answeredAt time.Time
	var answeredSuspended time.Duration
	listed := false
	for ctx.Err() == nil {
		suspended := f.clock.Suspended()
		change := f.next(ctx, after, listed)
		if ctx.Err() != nil {
			break
		}
		switch {
		case errors.Is(change.err, ErrCompacted):
			f.log.Info().Str("prefix", f.prefix).Uint64("version", uint64(after)).Msg("depot: watched version compacted, listing again")
			listed = false
			continue
		case change.err != nil:
			if errors.Is(change.err, ErrUnreadable) {
				f.log.Warn().Err(change.err).Str("prefix", f.prefix).Uint64("version", uint64(after)).Msg("depot: answer not read, listing again")
				listed = false
			}
			f.handler(change)
			f.sleep(ctx, retryDelay)
			continue
		}
		listed, after = true, change.version
		if change.snapshot {
			ahead = change.entriesAhead()
		} else {
			change.dropOlder(ahead)
			change.changedAfter, change.suspended = answeredAt, answeredSuspended
		}
		answeredAt, answeredSuspended = change.requestedAt, suspended
		if change.snapshot || len(change.events) > 0 {
			f.handler(change)
		}
		f.sleep(ctx, f.pause)
	}
	return nil
}

// entriesAhead returns the versions of the entries that are newer than the list:
// its pages are read one after the other, and it has the version of the first.
func (c Change) entriesAhead() map[string]Version {
	ahead := make(map[string]Version)
	for _, e := range c.entries {
		if e.Version() > c.version {
			ahead[e.Key()] = e.Version()
		}
	}
	return ahead
}

// dropOlder drops the events that a list with the given entries ahead of its
// version already had.
func (c *Change) dropOlder(ahead map[string]Version) {
	c.events = slices.DeleteFunc(c.events, func(e Event) bool { return e.entry.version <= ahead[e.entry.key] })
}

// next makes one call: a list first, then watches after the version reached.
func (f *Follower) next(ctx context.Context, after Version, listed bool) Change {
	requestedAt := f.clock.Now()
	if !listed {
		entries, version, err := f.store.List(ctx, f.prefix)
		return Change{entries: entries, snapshot: true, version: version, requestedAt: requestedAt, err: err}
	}
	events, version, err := f.store.Watch(ctx, f.prefix, after, watchWait)
	return Change{events: events, version: version, requestedAt: requestedAt, err: err}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-f.clock.After(d):
	case <-ctx.Done():
	}
}

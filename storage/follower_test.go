package storage_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/storage"
	"chervilhollow/timers"
)

// pagedStore returns a list whose last page was read after its first one, and
// then one event in each answer of the watch.
type pagedStore struct {
	storage.Store
	entries []storage.Entry
	version storage.Version
	events  []storage.Event
}

func (s *pagedStore) List(context.Context, string) ([]storage.Entry, storage.Version, error) {
	return s.entries, s.version, nil
}

func (s *pagedStore) Watch(ctx context.Context, _ string, after storage.Version, _ time.Duration) ([]storage.Event, storage.Version, error) {
	for _, e := range s.events {
		if v := e.Entry().Version(); v > after {
			return []storage.Event{e}, v, nil
		}
	}
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// The pages of a list are no snapshot. A watch from its first page must not
// bring back what a later page has already replaced, such as a worker that has
// begun to drain.
func TestFollowerSkipsEventsOlderThanTheList(t *testing.T) {
	is := is.New(t)
	store := &pagedStore{
		entries: []storage.Entry{entryAt("w1", "ready", 3), entryAt("w2", "draining", 8)},
		version: 5,
		events: []storage.Event{
			storage.NewEvent(entryAt("w2", "ready", 6), false),
			storage.NewEvent(entryAt("w2", "", 7), true),
			storage.NewEvent(entryAt("w2", "draining", 8), false),
			storage.NewEvent(entryAt("w1", "draining", 9), false),
			storage.NewEvent(entryAt("w2", "gone", 10), true),
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var seen []string
	f := storage.NewFollower(store, timers.New(), "", 0, zerolog.Nop(), func(c storage.Change) {
		for _, e := range c.Events() {
			seen = append(seen, e.Entry().Key()+" "+string(e.Entry().Value()))
		}
		if c.Version() == 10 {
			cancel()
		}
	})
	is.NoErr(f.Run(ctx))
	is.Equal(seen, []string{"w1 draining", "w2 gone"})
}

// Guards against a time bound on changes that may have happened before it.
func TestChangesHappenAfterThePreviousCall(t *testing.T) {
	is := is.New(t)
	clock := timers.NewManual(time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC))
	start := clock.Now()
	store := &slowStore{pagedStore: pagedStore{
		entries: []storage.Entry{entryAt("w1", "ready", 3)},
		version: 5,
		events:  []storage.Event{storage.NewEvent(entryAt("w1", "draining", 6), false), storage.NewEvent(entryAt("w1", "", 7), true)},
	}, delay: func() { clock.Advance(time.Second) }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var bounds []time.Time
	f := storage.NewFollower(store, clock, "", 0, zerolog.Nop(), func(c storage.Change) {
		at, _ := c.ChangedAfter()
		bounds = append(bounds, at)
		if c.Version() == 7 {
			cancel()
		}
	})
	is.NoErr(f.Run(ctx))
	// Each call takes a second: the list, and then two watches.
	is.Equal(bounds, []time.Time{{}, start, start.Add(time.Second)})
}

// slowStore is a pagedStore whose calls take time.
type slowStore struct {
	pagedStore
	delay func()
}

func (s *slowStore) List(ctx context.Context, prefix string) ([]storage.Entry, storage.Version, error) {
	s.delay()
	return s.pagedStore.List(ctx, prefix)
}

func (s *slowStore) Watch(ctx context.Context, prefix string, after storage.Version, wait time.Duration) ([]storage.Event, storage.Version, error) {
	s.delay()
	return s.pagedStore.Watch(ctx, prefix, after, wait)
}

package entryhost

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/election"
	"chervilhollow/gauge"
	"chervilhollow/scheduler"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// overtakenStore changes the ownership record once the jobs are listed.
type overtakenStore struct {
	storage.Batcher
	claim func()
}

func (s *overtakenStore) List(ctx context.Context, prefix string) ([]storage.Entry, storage.Version, error) {
	if prefix == scheduler.JobPrefix && s.claim != nil {
		s.claim()
	}
	return s.Batcher.List(ctx, prefix)
}

// Guards against starts of jobs that a later owner stored between the claim of this one and its reads.
func TestNoRestoreFromStateOfLaterOwner(t *testing.T) {
	for name, overtaken := range map[string]bool{"record unchanged": false, "another claim": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			store := &overtakenStore{Batcher: storage.NewMemory(timers.New())}
			h := New("10.0.0.1:7000", "quay", "a secret of sixteen", NewDependencies(store, nil, nil, keyDecoder{}),
				scheduler.NewLimits(10*time.Second, time.Minute), timers.New(), gauge.New(zerolog.Nop()), zerolog.Nop())
			acquired := claim(ctx, t, h.elector)
			if overtaken {
				store.claim = func() {
					record := acquired.Record()
					_, err := store.Swap(ctx, record.Key(), record.Version(), []byte("another owner"), 0)
					is.NoErr(err)
				}
			}
			m := scheduler.New(h.self, acquired.Epoch(), acquired.Record(), h.limits, h.clock.Now(), h.registry, h.log)
			err := h.restore(ctx, m, acquired)
			is.Equal(errors.Is(err, scheduler.ErrLost), overtaken)
			is.Equal(err == nil, !overtaken)
		})
	}
}

// claim runs the elector until it has acquired the cell.
func claim(ctx context.Context, t *testing.T, e *election.Elector) election.AcquiredEvent {
	t.Helper()
	running, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(running)
	}()
	defer func() { stop(); <-done }()
	for {
		select {
		case event := <-e.Events():
			if a, ok := event.(election.AcquiredEvent); ok {
				return a
			}
		case <-ctx.Done():
			t.Fatal("the cell was not acquired")
		}
	}
}

package logbook_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilhollow/logbook"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type guard time.Duration

func (g guard) Remaining() time.Duration { return time.Duration(g) }

// Guards against an Append that returns before the record is in the store, a
// record that is lost in an uncertain write, and a goroutine that keeps running
// after Close.
func TestJournalAppends(t *testing.T) {
	// The metrics library keeps one goroutine for the whole process.
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
	is := is.New(t)
	ctx := context.Background()
	clock := timers.New()
	store := storage.NewMemory(clock)
	j, records, err := logbook.Open(ctx, partition, 1, store, clock, guard(time.Second))
	is.NoErr(err)
	is.Equal(len(records), 0)
	is.NoErr(j.Append(ctx, record(logbook.Accepted, "a", startTime)))
	store.LoseAnswers(1)
	is.NoErr(j.Append(ctx, record(logbook.Starting, "a", startTime)))
	store.SetOutage(true)
	failed := make(chan error, 1)
	token, err := j.AppendAsync(record(logbook.Accepted, "b", startTime), func(err error) { failed <- err })
	is.NoErr(err)
	time.Sleep(2 * logbook.WriteInterval)
	// Nothing is written in an outage, but a call may be in progress now.
	cancelled := j.Cancel(token)
	for range 100 {
		if cancelled {
			break
		}
		time.Sleep(time.Millisecond)
		cancelled = j.Cancel(token)
	}
	is.True(cancelled)
	_, err = j.AppendAsync(record(logbook.Accepted, "c", startTime), func(err error) { failed <- err })
	is.NoErr(err)
	j.Close()
	is.True(errors.Is(<-failed, logbook.ErrClosed))
	store.SetOutage(false)
	next, records, err := logbook.Open(ctx, partition, 2, store, clock, guard(time.Second))
	is.NoErr(err)
	defer next.Close()
	is.Equal(len(records), 1)
	is.Equal(records[0].Kind(), logbook.Starting)
}

// Guards against a journal that writes after the permission of its owner has
// ended.
func TestJournalWithoutPermission(t *testing.T) {
	is := is.New(t)
	clock := timers.New()
	store := storage.NewMemory(clock)
	j, _, err := logbook.Open(context.Background(), partition, 1, store, clock, guard(0))
	is.NoErr(err)
	defer j.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	err = j.Append(ctx, record(logbook.Accepted, "a", startTime))
	is.True(errors.Is(err, context.DeadlineExceeded))
}

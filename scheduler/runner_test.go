package scheduler

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// lossyStore executes the next commit but loses its response if loseNext is
// set.
type lossyStore struct {
	*storage.Memory
	loseNext atomic.Bool
}

func (s *lossyStore) Commit(ctx context.Context, batch storage.Batch) (storage.Version, error) {
	version, err := s.Memory.Commit(ctx, batch)
	if s.loseNext.CompareAndSwap(true, false) {
		<-ctx.Done()
		return 0, storage.ErrUncertain
	}
	return version, err
}

// When the store's response to a commit is lost, the batch must be sent again
// soon and recognized as stored. A longer timeout would delay each job by a
// second, and the conflict must not count as another owner's write.
func TestCommitsSoonAfterLostResponse(t *testing.T) {
	is := is.New(t)
	store := &lossyStore{Memory: storage.NewMemory(timers.New())}
	store.loseNext.Store(true)
	record, err := store.Swap(context.Background(), "cell/owner", 0, []byte("me"), 0)
	is.NoErr(err)
	m := New(testMember, testEpoch, storage.NewEntry("cell/owner", nil, record), NewLimits(time.Second, time.Minute),
		time.Now(), gauge.New(zerolog.Nop()), zerolog.Nop())
	c := NewRunner(m, timers.New(), store, nil, nil, zerolog.Nop())
	batch := storage.Batch{}.Expect("cell/owner", record).Expect(jobKey(testJob), 0).Put(jobKey(testJob), []byte("job"), 0)
	began := time.Now()
	c.commit(context.Background(), CommitCmd{batchID: 1, batch: batch})
	is.True(time.Since(began) < 600*time.Millisecond) // about what the objective of previews leaves
	in := <-c.inbox
	is.Equal(in.(CommittedMsg).batchID, 1)
	stored, err := store.Get(context.Background(), jobKey(testJob))
	is.NoErr(err)
	is.Equal(in.(CommittedMsg).version, stored.Version())
}

// unresponsiveWorker does not respond to the first orders, as many as
// unanswered, and returns the error later for the others.
type unresponsiveWorker struct {
	unanswered int
	later      error
	calls      int
}

func (w *unresponsiveWorker) send(ctx context.Context) (int64, error) {
	w.calls++
	if w.calls <= w.unanswered {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 7, w.later
}

// When the response to a start is lost or late, the order must be sent again
// soon, not after a second. The worker then responds, and starts the run if the
// first order did not arrive.
func TestRetriesOrderSoon(t *testing.T) {
	is := is.New(t)
	w := &unresponsiveWorker{unanswered: 1}
	began := time.Now()
	clock, err := sendWithRetry(context.Background(), w.send)
	is.NoErr(err)
	is.Equal(clock, int64(7))
	is.True(time.Since(began) < 250*time.Millisecond+earlyOrderTimeout) // the tightest objective leaves 250 ms
}

// If the first attempt had no response, a refusal of the second must not count
// as the result, since the worker may still execute the first.
func TestRefusalAfterUnconfirmedOrder(t *testing.T) {
	is := is.New(t)
	for _, later := range []error{NewRefusedError(RefusedNoCapacity, 0), ErrNotSent} {
		w := &unresponsiveWorker{unanswered: 1, later: later}
		_, err := sendWithRetry(context.Background(), w.send)
		is.True(errors.Is(err, context.DeadlineExceeded))
	}
	w := &unresponsiveWorker{later: NewRefusedError(RefusedNoCapacity, 0)}
	_, err := sendWithRetry(context.Background(), w.send)
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(w.calls, 1)
}

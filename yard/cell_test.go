package yard

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/tide"
)

// lossyStore executes the first commit and never answers it.
type lossyStore struct {
	*depot.Memory
	loseNext bool
}

func (s *lossyStore) Commit(ctx context.Context, batch depot.Batch) (depot.Version, error) {
	version, err := s.Memory.Commit(ctx, batch)
	if s.loseNext {
		s.loseNext = false
		<-ctx.Done()
		return 0, depot.ErrUncertain
	}
	return version, err
}

// Guards against jobs that wait a second for each answer that the store loses,
// and against taking the stored batch for another owner's.
func TestCommitsSoonAfterLostResponse(t *testing.T) {
	is := is.New(t)
	store := &lossyStore{Memory: depot.NewMemory(tide.New()), loseNext: true}
	record, err := store.Swap(context.Background(), "cell/owner", 0, []byte("me"), 0)
	is.NoErr(err)
	m := New(testMember, testEpoch, depot.NewEntry("cell/owner", nil, record), NewLimits(time.Second, time.Minute),
		time.Now(), gauge.New(zerolog.Nop()), zerolog.Nop())
	c := NewCell(m, tide.New(), store, nil, nil, zerolog.Nop())
	batch := depot.Batch{}.Expect("cell/owner", record).Expect(jobKey(testJob), 0).Put(jobKey(testJob), []byte("job"), 0)
	began := time.Now()
	c.commit(context.Background(), CommitCmd{batchID: 1, batch: batch})
	is.True(time.Since(began) < 600*time.Millisecond) // previews have about as much to spare
	in := <-c.inbox
	is.Equal(in.(CommittedMsg).batchID, 1)
	held, err := store.Get(context.Background(), jobKey(testJob))
	is.NoErr(err)
	is.Equal(in.(CommittedMsg).version, held.Version())
}

// unresponsiveWorker leaves the first orders unanswered and answers the later ones with
// the error.
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

// Guards against a task that waits a second because the answer to its start is
// lost or the order is late: the same order again is answered, and begins the
// run if the first did not.
func TestRetriesOrderSoon(t *testing.T) {
	is := is.New(t)
	w := &unresponsiveWorker{unanswered: 1}
	began := time.Now()
	clock, err := sendWithRetry(context.Background(), w.send)
	is.NoErr(err)
	is.Equal(clock, int64(7))
	is.True(time.Since(began) < 250*time.Millisecond+earlyOrderTimeout) // the tightest objective leaves 250 ms
}

// Guards against a run that is taken for refused while its first order may
// still be carried out.
func TestRefusalAfterUnconfirmedOrder(t *testing.T) {
	is := is.New(t)
	for _, later := range []error{NewRefusal(RefusedRoom, 0), ErrNotSent} {
		w := &unresponsiveWorker{unanswered: 1, later: later}
		_, err := sendWithRetry(context.Background(), w.send)
		is.True(errors.Is(err, context.DeadlineExceeded))
	}
	w := &unresponsiveWorker{later: NewRefusal(RefusedRoom, 0)}
	_, err := sendWithRetry(context.Background(), w.send)
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(w.calls, 1)
}

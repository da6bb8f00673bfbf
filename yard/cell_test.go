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

// silentStore executes the first commit and never answers it.
type silentStore struct {
	*depot.Memory
	silent bool
}

func (s *silentStore) Commit(ctx context.Context, batch depot.Batch) (depot.Version, error) {
	version, err := s.Memory.Commit(ctx, batch)
	if s.silent {
		s.silent = false
		<-ctx.Done()
		return 0, depot.ErrUncertain
	}
	return version, err
}

// Guards against jobs that wait a second for each answer that the store loses,
// and against taking the stored batch for another owner's.
func TestCommitsSoonAfterALostAnswer(t *testing.T) {
	is := is.New(t)
	store := &silentStore{Memory: depot.NewMemory(tide.New()), silent: true}
	record, err := store.Swap(context.Background(), "cell/owner", 0, []byte("me"), 0)
	is.NoErr(err)
	m := New(testMember, testEpoch, depot.NewEntry("cell/owner", nil, record), NewLimits(time.Second, time.Minute),
		time.Now(), gauge.New(zerolog.Nop()), zerolog.Nop())
	c := NewCell(m, tide.New(), store, nil, nil, zerolog.Nop())
	batch := depot.Batch{}.Expect("cell/owner", record).Expect(jobKey(testJob), 0).Put(jobKey(testJob), []byte("job"), 0)
	began := time.Now()
	c.commit(context.Background(), CommitCmd{flight: 1, batch: batch})
	is.True(time.Since(began) < 600*time.Millisecond) // previews have about as much to spare
	in := <-c.inbox
	is.Equal(in.(CommittedMsg).flight, 1)
	held, err := store.Get(context.Background(), jobKey(testJob))
	is.NoErr(err)
	is.Equal(in.(CommittedMsg).version, held.Version())
}

// muteWorker leaves the first orders unanswered and answers the later ones with
// the error.
type muteWorker struct {
	mute  int
	later error
	calls int
}

func (w *muteWorker) send(ctx context.Context) (int64, error) {
	w.calls++
	if w.calls <= w.mute {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 7, w.later
}

// Guards against a task that waits a second because the answer to its start is
// lost or the order is late: the same order again is answered, and begins the
// run if the first did not.
func TestRepeatsAnOrderSoon(t *testing.T) {
	is := is.New(t)
	w := &muteWorker{mute: 1}
	began := time.Now()
	clock, err := repeat(context.Background(), w.send)
	is.NoErr(err)
	is.Equal(clock, int64(7))
	is.True(time.Since(began) < 250*time.Millisecond+repeatAfter) // the tightest objective leaves 250 ms
}

// Guards against a run that is taken for refused while its first order may
// still be carried out.
func TestRefusalAfterAnUnclearOrderProvesNothing(t *testing.T) {
	is := is.New(t)
	for _, later := range []error{NewRefusal(RefusedRoom, 0), ErrNotSent} {
		w := &muteWorker{mute: 1, later: later}
		_, err := repeat(context.Background(), w.send)
		is.True(errors.Is(err, context.DeadlineExceeded))
	}
	w := &muteWorker{later: NewRefusal(RefusedRoom, 0)}
	_, err := repeat(context.Background(), w.send)
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(w.calls, 1)
}

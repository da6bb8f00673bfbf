package scheduler

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/policy"
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

// newTestRunner returns a runner that only sends orders.
func newTestRunner() *Runner { return NewRunner(nil, timers.New(), nil, nil, nil, zerolog.Nop()) }

// When the response to a start is lost or late, the order must be sent again
// soon, not after a second. The worker then responds, and starts the run if the
// first order did not arrive.
func TestRetriesOrderSoon(t *testing.T) {
	is := is.New(t)
	w := &unresponsiveWorker{unanswered: 1}
	began := time.Now()
	clock, err := newTestRunner().sendWithRetry(context.Background(), &permit{}, w.send)
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
		_, err := newTestRunner().sendWithRetry(context.Background(), &permit{}, w.send)
		is.True(errors.Is(err, context.DeadlineExceeded))
	}
	w := &unresponsiveWorker{later: NewRefusedError(RefusedNoCapacity, 0)}
	_, err := newTestRunner().sendWithRetry(context.Background(), &permit{}, w.send)
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(w.calls, 1)
}

// unansweredStarts is a worker that answers polls and stops, but no start. It
// records the starts.
type unansweredStarts struct {
	mu          sync.Mutex
	incarnation int64
	starts      []StartOrder
}

func (w *unansweredStarts) Start(ctx context.Context, o StartOrder) (int64, error) {
	w.mu.Lock()
	w.starts = append(w.starts, o)
	w.mu.Unlock()
	<-ctx.Done()
	return 0, ctx.Err()
}

func (w *unansweredStarts) Stop(context.Context, StopOrder) (int64, error) { return 1, nil }

func (w *unansweredStarts) Poll(ctx context.Context, _ PollOrder) (Report, error) {
	select {
	case <-time.After(pollDelay):
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return NewReport(time.Now().UnixMilli(), w.incarnation, nil, nil), ctx.Err()
}

func (w *unansweredStarts) Disconnect() {}

// setIncarnation makes later polls report the incarnation.
func (w *unansweredStarts) setIncarnation(incarnation int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation = incarnation
}

// count returns how many starts for the incarnation the worker has got.
func (w *unansweredStarts) count(incarnation int64) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, o := range w.starts {
		if o.to.incarnation == incarnation {
			n++
		}
	}
	return n
}

// replies is a sender that passes on the replies to clients.
type replies chan order.JobReplyMsg

func (r replies) Send(_ order.MemberID, m order.Msg) error {
	if reply, ok := m.(order.JobReplyMsg); ok {
		r <- reply
	}
	return nil
}

// runCell runs a cell with one worker until the test ends, and submits a job of
// many tasks, whose starts the worker does not answer.
func runCell(t *testing.T, workers *unansweredStarts) (*Runner, replies) {
	t.Helper()
	is := is.New(t)
	store := storage.NewMemory(timers.New())
	record, err := store.Swap(context.Background(), "cell/owner", 0, []byte("me"), 0)
	is.NoErr(err)
	m := New(testMember, testEpoch, storage.NewEntry("cell/owner", nil, record), NewLimits(10*time.Second, time.Minute),
		time.Now(), gauge.New(zerolog.Nop()), zerolog.Nop())
	answers := make(replies, 16)
	r := NewRunner(m, timers.New(), store, workers, answers, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-ended)
	})
	is.NoErr(r.Enqueue(NewConfigMsg(testConfig(policy.Advice{}, order.Resources{}), nil)))
	is.NoErr(r.Enqueue(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1)}, nil, false)))
	is.NoErr(r.Enqueue(jobCall(order.SubmitJob, smallStep(60).WithSize(order.NewResources(100, 1<<20, 0)))))
	is.Equal((<-answers).Code(), order.Done)
	for deadline := time.Now().Add(5 * time.Second); workers.count(1) < maxOrdersPerWorker; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the first starts are sent
	}
	return r, answers
}

// The other starts wait behind the unanswered ones.
func TestSendsNoQueuedStartOfCancelledJob(t *testing.T) {
	is := is.New(t)
	w := &unansweredStarts{incarnation: 1}
	r, answers := runCell(t, w)
	is.NoErr(r.Enqueue(jobCall(order.CancelJob)))
	is.Equal((<-answers).Code(), order.Done)
	sent := w.count(1)
	time.Sleep(4 * earlyOrderTimeout)
	is.Equal(w.count(1), sent)
}

// It would execute them while the tasks run elsewhere.
func TestSendsNoQueuedStartToNextIncarnation(t *testing.T) {
	is := is.New(t)
	w := &unansweredStarts{incarnation: 1}
	r, _ := runCell(t, w)
	w.setIncarnation(2)
	is.NoErr(r.Enqueue(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 2)}, nil, false)))
	time.Sleep(earlyOrderTimeout / 2)
	sent := w.count(1)
	time.Sleep(4 * earlyOrderTimeout)
	is.Equal(w.count(1), sent)
}

// A withdrawn order counts as not sent only if no attempt was made.
func TestNoRetryOfWithdrawnOrder(t *testing.T) {
	is := is.New(t)
	w := &unresponsiveWorker{unanswered: 1}
	p := &permit{}
	_, err := newTestRunner().sendWithRetry(context.Background(), p, func(ctx context.Context) (int64, error) {
		is.True(!p.withdraw())
		return w.send(ctx)
	})
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(w.calls, 1)
	_, err = newTestRunner().sendWithRetry(context.Background(), p, w.send)
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(w.calls, 1)
}

// Neither a withdrawn poll nor an order of a cell that has ended may be sent.
func TestSendsNothingWithoutPermit(t *testing.T) {
	is := is.New(t)
	r := newTestRunner()
	o := PollOrder{permit: &permit{}}
	o.permit.withdraw()
	r.pollWorker(context.Background(), o)
	in := <-r.inbox
	is.True(errors.Is(in.(PolledMsg).err, errWithdrawn))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	w := &unresponsiveWorker{}
	_, err := r.sendWithRetry(ended, &permit{}, w.send)
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(w.calls, 0)
}

// fencedWorkers refuses every order, as workers that have accepted a later owner do.
type fencedWorkers struct{}

func (fencedWorkers) Start(context.Context, StartOrder) (int64, error) {
	return 0, NewRefusedError(RefusedStaleEpoch, 0)
}

func (fencedWorkers) Stop(context.Context, StopOrder) (int64, error) {
	return 0, NewRefusedError(RefusedStaleEpoch, 0)
}

func (fencedWorkers) Poll(context.Context, PollOrder) (Report, error) {
	return Report{}, NewRefusedError(RefusedStaleEpoch, 0)
}

func (fencedWorkers) Disconnect() {}

// suspendedClock is a clock of a machine that was suspended for an hour.
type suspendedClock struct{ timers.Clock }

func (suspendedClock) Suspended() time.Duration { return time.Hour }

// A cell must end once a worker has accepted a later owner, and must count suspensions.
func TestRunEndsAtLaterOwnerAndCountsSuspensions(t *testing.T) {
	is := is.New(t)
	m := New(testMember, testEpoch, storage.NewEntry("cell/owner", nil, 1), NewLimits(time.Second, time.Minute),
		time.Now(), gauge.New(zerolog.Nop()), zerolog.Nop())
	r := NewRunner(m, suspendedClock{timers.New()}, storage.NewMemory(timers.New()), fencedWorkers{}, nil, zerolog.Nop())
	is.NoErr(r.Enqueue(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1)}, nil, true)))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.True(errors.Is(r.Run(ctx), ErrLost))
	is.Equal(m.suspended, time.Hour)
}

// flakyStarts answers starts like an unresponsiveWorker.
type flakyStarts struct {
	unansweredStarts
	starts unresponsiveWorker
}

func (w *flakyStarts) Start(ctx context.Context, _ StartOrder) (int64, error) {
	return w.starts.send(ctx)
}

// Guards against a start that counts as executed once although an earlier copy had no response.
func TestStartTellsOfUnansweredCopies(t *testing.T) {
	is := is.New(t)
	for unanswered := range 2 {
		r := NewRunner(nil, timers.New(), nil, &flakyStarts{starts: unresponsiveWorker{unanswered: unanswered}}, nil, zerolog.Nop())
		r.sendOrder(context.Background(), StartCmd{order: StartOrder{permit: &permit{}}})
		in, ok := (<-r.inbox).(StartedMsg)
		is.True(ok)
		is.NoErr(in.err)
		is.Equal(in.unanswered, unanswered > 0)
	}
}

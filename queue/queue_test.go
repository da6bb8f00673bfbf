package queue_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"chervilhollow/gauge"
	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/queue"
	"chervilhollow/sheet"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// fakeGuard is an ownership guard with a fixed remaining time, in
	// nanoseconds.
	fakeGuard struct{ remaining atomic.Int64 }

	// peers receives the messages of a running queue. It acts as the placer of
	// one group, which starts and ends every task at once, and as the gates.
	peers struct {
		queue    atomic.Pointer[queue.Queue]
		group    order.GroupID
		confirms atomic.Int64

		// code and text are the outcome of all tasks.
		code order.Code
		text string

		mu      sync.Mutex
		answers map[uint64]order.AnswerMsg
		changed chan struct{}
	}
)

func (g *fakeGuard) Remaining() time.Duration { return time.Duration(g.remaining.Load()) }

// Send implements order.Sender.
func (p *peers) Send(_ order.MemberID, m order.Msg) error {
	switch m := m.(type) {
	case order.InventoryMsg:
		p.queue.Load().Handle(placerID, order.InventoryReplyMsg{}.
			WithPartition(m.Partition()).
			WithEpoch(m.Epoch()).
			WithGroups([]order.GroupID{p.group}))
	case order.AnswerMsg:
		p.mu.Lock()
		p.answers[m.Sequence()] = m
		p.mu.Unlock()
		p.changed <- struct{}{}
	}
	return nil
}

// Post implements order.Poster.
func (p *peers) Post(_ order.PartitionID, m order.Msg) error {
	q := p.queue.Load()
	switch m := m.(type) {
	case order.BidMsg:
		q.Handle(placerID, order.OfferMsg{}.WithTask(m.Task().ID()).WithAttempt(m.Attempt()).WithGroup(p.group).WithEpoch(1).WithHold(time.Second))
	case order.ConfirmMsg:
		p.confirms.Add(1)
		q.Handle(placerID, order.StartedMsg{}.WithTask(m.Task()).WithAttempt(m.Attempt()).WithGroup(p.group))
		outcome := order.Outcome{}.WithTask(m.Task()).WithAttempt(m.Attempt()).WithCode(p.code).WithText(p.text)
		q.Handle(placerID, order.EndedMsg{}.WithGroup(p.group).WithOutcome(outcome).WithEpoch(1))
	}
	return nil
}

func (p *peers) answer(t *testing.T, sequence uint64) order.AnswerMsg {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		p.mu.Lock()
		a, ok := p.answers[sequence]
		p.mu.Unlock()
		if ok {
			return a
		}
		select {
		case <-p.changed:
		case <-timeout:
			t.Fatalf("no answer to %d", sequence)
		}
	}
}

type runningQueue struct {
	queue     *queue.Queue
	peers     *peers
	guard     *fakeGuard
	store     *storage.Memory
	journal   *logbook.Journal
	runResult chan error
}

func startQueue(t *testing.T) *runningQueue {
	t.Helper()
	return startQueueWith(t, zerolog.Nop(), order.Done, "")
}

// startQueueWith starts a queue with the log. All tasks end with the code and
// text.
func startQueueWith(t *testing.T, log zerolog.Logger, code order.Code, text string) *runningQueue {
	t.Helper()
	clock := timers.New()
	r := &runningQueue{
		peers:     &peers{group: "d0/r00", code: code, text: text, answers: make(map[uint64]order.AnswerMsg), changed: make(chan struct{}, 1000)},
		guard:     &fakeGuard{},
		store:     storage.NewMemory(clock),
		runResult: make(chan error, 1),
	}
	r.guard.remaining.Store(int64(time.Hour))
	registry := gauge.New(zerolog.Nop())
	registry.SetStrict(true)
	journal, records, err := logbook.Open(context.Background(), testPartition, 1, r.store, clock, r.guard)
	if err != nil {
		t.Fatal(err)
	}
	r.journal = journal
	g := &fakeGroup{id: r.peers.group, epoch: 1, slots: 100}
	config := sheet.NewConfig(1).WithTeam(sheet.NewTeam(testTeam, 1, 100))
	r.queue = queue.New(testPartition, 1, queue.NewDeps().
		WithClock(clock).
		WithRegistry(registry).
		WithLog(log).
		WithGuard(r.guard).
		WithPoster(r.peers).
		WithSender(r.peers).
		WithJournal(journal, records).
		WithConfig(func() *sheet.Config { return config }).
		WithDigests(func() []order.GroupDigest { return []order.GroupDigest{g.digest()} }).
		WithGroups(func() []order.GroupID { return []order.GroupID{g.id} }).
		WithPlacers(func() []order.MemberID { return []order.MemberID{placerID} }).
		WithOwned(func(order.GroupID) bool { return true }))
	r.peers.queue.Store(r.queue)
	go func() { r.runResult <- r.queue.Run(context.Background()) }()
	return r
}

func (r *runningQueue) submit(sequence uint64, request order.Request) {
	r.queue.Handle("gate0", order.SubmitMsg{}.WithPartition(testPartition).WithRequest(request).WithSequence(sequence))
}

func (r *runningQueue) close() {
	r.queue.Close()
	r.journal.Close()
}

// Guards against a queue that doesn't take requests from submission through the
// journal to the answer, and against goroutines that outlive Close.
func TestQueueAnswersRequests(t *testing.T) {
	// The metrics library keeps one goroutine for the process.
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
	is := is.New(t)
	r := startQueue(t)
	for i := range 200 {
		r.submit(uint64(i+1), request(fmt.Sprint("r", i), order.Batch).WithIdempotent(i%2 == 0))
	}
	for i := range 200 {
		is.Equal(r.peers.answer(t, uint64(i+1)).Code(), order.Done)
	}
	is.Equal(r.peers.confirms.Load(), int64(200))
	r.close()
	is.NoErr(<-r.runResult)
}

// Guards against answers with an unknown outcome whose cause no log names.
func TestQueueLogsCauseOfUnknownOutcome(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	r := startQueueWith(t, zerolog.New(&log), order.OutcomeUnknown, "the worker restarted")
	r.submit(1, request("a", order.Batch).WithIdempotent(false))
	is.Equal(r.peers.answer(t, 1).Code(), order.OutcomeUnknown)
	r.close()
	is.NoErr(<-r.runResult)
	is.True(strings.Contains(log.String(), `"request":"a","cause":"the worker restarted"`))
}

// Guards against confirmations and answers by an owner whose guard has no time
// left.
func TestQueueSendsNothingWithoutGuard(t *testing.T) {
	is := is.New(t)
	r := startQueue(t)
	defer r.close()
	r.submit(1, request("a", order.Batch))
	is.Equal(r.peers.answer(t, 1).Code(), order.Done)
	r.guard.remaining.Store(0)
	r.submit(2, request("b", order.Batch))
	r.submit(3, request("c", 9))
	time.Sleep(300 * time.Millisecond)
	is.Equal(r.peers.confirms.Load(), int64(1))
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	is.Equal(len(r.peers.answers), 1)
}

// Guards against a queue that continues after another owner has fenced the
// journal.
func TestQueueStopsWhenFenced(t *testing.T) {
	is := is.New(t)
	r := startQueue(t)
	defer r.close()
	next, _, err := logbook.Open(context.Background(), testPartition, 2, r.store, timers.New(), r.guard)
	is.NoErr(err)
	defer next.Close()
	r.submit(1, request("a", order.Batch).WithIdempotent(false))
	is.True(errors.Is(<-r.runResult, logbook.ErrFenced))
	is.Equal(r.peers.confirms.Load(), int64(0))
}

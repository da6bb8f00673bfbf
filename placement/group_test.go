package placement_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/placement"
	"chervilhollow/roster"
	"chervilhollow/sheet"
	"chervilhollow/simulator"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// testEnv is everything a running group needs: stand-ins for its
	// workers, a store, a configuration and a request partition.
	testEnv struct {
		t        testing.TB
		clock    timers.Clock
		server   *httptest.Server
		workers  *simulator.Workers
		roster   []roster.Worker
		store    *storage.Memory
		registry *gauge.Registry
		queue    *fakeQueue
		guard    fixedGuard

		mu     sync.Mutex
		config *sheet.Config
	}

	fixedGuard time.Duration

	// fakeQueue is a request partition that confirms each offer and
	// acknowledges each outcome.
	fakeQueue struct {
		mu           sync.Mutex
		group        *placement.Group
		dropOutcomes bool
		holdOffers   bool
		offered      map[order.TaskID]bool
		started      map[order.TaskID]order.WorkerID
		ended        map[order.TaskID]order.EndedMsg
		refused      map[order.TaskID]order.Code
		acks         []order.AllotAckMsg
	}
)

const testGroup = order.GroupID("east/r1")

// TestMain fails if goroutines are left over. The metrics library runs one
// ticker per process, which is ignored.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

func (g fixedGuard) Remaining() time.Duration { return time.Duration(g) }

func newTestEnv(t testing.TB, workers int) *testEnv {
	settings := simulator.WorkerSettings{UsageLagMS: 100, Pattern: &simulator.WorkerPattern{
		Domains: []order.DomainName{"east"},
		Racks:   1,
		PerRack: workers,
		Size:    simulator.WorkerSpec{Slots: 4, Connections: 16, MilliCores: 8000, MemoryMB: 8192, Fenced: true},
	}}
	clock := timers.New()
	registry := gauge.New(zerolog.Nop())
	registry.SetStrict(true)
	s := &testEnv{
		t:        t,
		clock:    clock,
		workers:  simulator.NewWorkers(clock, settings),
		store:    storage.NewMemory(clock),
		registry: registry,
		guard:    fixedGuard(time.Hour),
		config:   sheet.NewConfig(1).WithTeam(sheet.NewTeam("tags", 1, 100)),
		queue: &fakeQueue{
			offered: make(map[order.TaskID]bool),
			started: make(map[order.TaskID]order.WorkerID),
			ended:   make(map[order.TaskID]order.EndedMsg),
			refused: make(map[order.TaskID]order.Code),
		},
	}
	s.server = httptest.NewServer(s.workers)
	s.roster = settings.HostListWorkers(s.server.URL)
	s.allot("tags", 100, 100)
	t.Cleanup(func() {
		s.configureWorkers(`{"pause": false}`)
		s.server.CloseClientConnections()
		s.workers.Close()
		s.server.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return s
}

func (s *testEnv) allot(team order.TeamName, limit, count int) {
	record := fmt.Sprintf(`{"limit": %d, "version": 1, "groups": {"%s": %d}}`, limit, testGroup, count)
	_, err := s.store.Swap(context.Background(), "allotment/"+string(team), 0, []byte(record), 0)
	is.New(s.t).NoErr(err)
}

func (s *testEnv) currentConfig() *sheet.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// run starts a group at the epoch and returns it with its Close method.
func (s *testEnv) run(epoch order.Epoch, opts ...placement.Option) (*placement.Group, func()) {
	deps := placement.NewDeps(s.clock, s.registry, zerolog.Nop()).
		WithGuard(s.guard).
		WithPoster(s.queue).
		WithStore(s.store).
		WithConfig(s.currentConfig).
		WithWorkers(func() []roster.Worker { return s.roster })
	g := placement.New(testGroup, epoch, deps, opts...)
	s.queue.mu.Lock()
	s.queue.group = g
	s.queue.mu.Unlock()
	go func() { _ = g.Run(context.Background()) }()
	return g, g.Close
}

func (s *testEnv) configureWorkers(body string) {
	resp, err := http.Post(s.server.URL+"/switch", "application/json", strings.NewReader(body))
	is.New(s.t).NoErr(err)
	_ = resp.Body.Close()
}

func (s *testEnv) eventually(what string, cond func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Post implements order.Poster.
func (q *fakeQueue) Post(_ order.PartitionID, m order.Msg) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	partition := order.GroupPartition(testGroup)
	switch m := m.(type) {
	case order.OfferMsg:
		q.offered[m.Task()] = true
		if q.holdOffers {
			return nil
		}
		q.group.Handle("", order.ConfirmMsg{}.WithPartition(partition).WithTask(m.Task()).WithAttempt(m.Attempt()))
	case order.StartedMsg:
		q.started[m.Task()] = m.Worker()
	case order.BidRefusedMsg:
		q.refused[m.Task()] = m.Code()
	case order.AllotAckMsg:
		q.acks = append(q.acks, m)
	case order.EndedMsg:
		if q.dropOutcomes {
			return nil
		}
		id := m.Outcome().Task()
		if _, ok := q.ended[id]; !ok {
			q.ended[id] = m
		}
		q.group.Handle("", order.EndedAckMsg{}.WithPartition(partition).WithTask(id).WithAttempt(m.Outcome().Attempt()))
	}
	return nil
}

func (q *fakeQueue) endedCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.ended)
}

func (q *fakeQueue) endedOf(id order.TaskID) (order.EndedMsg, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	m, ok := q.ended[id]
	return m, ok
}

func (q *fakeQueue) startedOn(id order.TaskID) order.WorkerID {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.started[id]
}

func testTask(request string, cores order.MilliCores, payload string) order.Task {
	id := order.NewTaskID("tags", order.RequestID(request), 0)
	return order.Task{}.
		WithID(id).
		WithRequest(order.RequestID(request)).
		WithPartition(id.Partition()).
		WithTeam("tags").
		WithKind(order.Batch).
		WithSize(order.Resources{}.WithCores(cores).WithMemory(1 << 20)).
		WithQueued(time.Now()).
		WithPayload([]byte(payload))
}

func bid(g *placement.Group, task order.Task, attempt order.Attempt) {
	g.Handle("", order.BidMsg{}.
		WithPartition(order.GroupPartition(testGroup)).
		WithTask(task).
		WithAttempt(attempt))
}

// Guards against losing, repeating or overlapping tasks without any faults:
// bid, offer, confirmation, start, outcome and acknowledgement.
func TestGroupRunsTasksOnce(t *testing.T) {
	is := is.New(t)
	s := newTestEnv(t, 3)
	g, stop := s.run(1)
	defer stop()
	const tasks = 60
	for i := range tasks {
		bid(g, testTask(fmt.Sprintf("r%d", i), 1000, fmt.Sprintf(`{"run_ms":5,"result":"out %d"}`, i)), 1)
	}
	s.eventually("all tasks end", func() bool { return s.queue.endedCount() == tasks })
	audit := s.workers.Audit()
	is.Equal(audit.Starts, tasks)
	is.Equal(len(audit.Concurrent), 0)
	is.Equal(len(audit.OverCapacity), 0)
	ended, _ := s.queue.endedOf("tags/r7/0")
	is.Equal(ended.Outcome().Code(), order.Done)
	is.Equal(string(ended.Outcome().Body()), "out 7")
	s.eventually("workers discard outcomes", func() bool { return len(g.Inventory("")) == 0 })
	is.Equal(s.registry.BrokenInvariants(), int64(0))
}

// Guards against a new owner that starts running tasks again or loses their
// outcomes.
func TestGroupAdoptsRunningTasks(t *testing.T) {
	is := is.New(t)
	s := newTestEnv(t, 2)
	first, stop := s.run(1)
	task := testTask("long", 1000, `{"run_ms":600,"result":"kept"}`)
	bid(first, task, 1)
	s.eventually("task starts", func() bool { return s.queue.startedOn(task.ID()) != "" })
	stop()
	second, stop := s.run(2)
	defer stop()
	s.eventually("successor has adopted all tasks", second.Adopted)
	entries := second.Inventory(task.ID().Partition())
	is.Equal(len(entries), 1)
	is.Equal(entries[0].State(), order.TaskRunning)
	is.Equal(second.Digest().Running()["tags"], 1)
	s.eventually("outcome arrives", func() bool { return s.queue.endedCount() == 1 })
	ended, _ := s.queue.endedOf(task.ID())
	is.Equal(string(ended.Outcome().Body()), "kept")
	is.Equal(s.workers.Audit().Starts, 1)
}

// Guards against losing an outcome when the owner stops after the worker
// reported it and before the request partition acknowledged it.
func TestOutcomeIsKeptUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	s := newTestEnv(t, 1)
	s.queue.dropOutcomes = true
	first, stop := s.run(1)
	task := testTask("short", 1000, `{"run_ms":1,"result":"kept"}`)
	bid(first, task, 1)
	s.eventually("task ends", func() bool {
		entries := first.Inventory(task.ID().Partition())
		return len(entries) == 1 && entries[0].State() == order.TaskEnded
	})
	stop()
	s.queue.mu.Lock()
	s.queue.dropOutcomes = false
	s.queue.mu.Unlock()
	_, stop = s.run(2)
	defer stop()
	s.eventually("outcome arrives", func() bool { return s.queue.endedCount() == 1 })
	ended, _ := s.queue.endedOf(task.ID())
	is.Equal(string(ended.Outcome().Body()), "kept")
	is.Equal(s.workers.Audit().Starts, 1)
}

// Guards against one worker that does not answer and so delays starts on
// others. (Failure table: worker pauses.)
func TestPausedWorkerDelaysNoOther(t *testing.T) {
	is := is.New(t)
	s := newTestEnv(t, 3)
	g, stop := s.run(1)
	defer stop()
	s.eventually("workers are read", g.Adopted)
	s.configureWorkers(`{"worker": "east-r1-1", "pause": true}`)
	const tasks, slots = 60, 4
	start := time.Now()
	for i := range tasks {
		bid(g, testTask(fmt.Sprintf("r%d", i), 1000, `{"run_ms":5}`), 1)
	}
	s.eventually("tasks of the other workers end", func() bool { return s.queue.endedCount() >= tasks-slots })
	is.True(time.Since(start) < 3*time.Second)
	s.configureWorkers(`{"worker": "east-r1-1", "pause": false}`)
	s.eventually("all tasks end", func() bool { return s.queue.endedCount() == tasks })
	audit := s.workers.Audit()
	is.Equal(len(audit.Repeated), 0)
	is.Equal(len(audit.OverCapacity), 0)
}

// Guards against reporting the tasks of a crashed worker only after their
// lease, although its next answer shows that it lost them. (Failure table:
// worker dies.)
func TestCrashedWorkerIsDetectedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newTestEnv(t, 1)
	g, stop := s.run(1)
	defer stop()
	task := testTask("long", 1000, `{"run_ms":60000}`)
	bid(g, task, 1)
	s.eventually("task starts", func() bool { return s.queue.startedOn(task.ID()) != "" })
	start := time.Now()
	s.configureWorkers(`{"crash": true}`)
	s.eventually("loss is reported", func() bool { return s.queue.endedCount() == 1 })
	is.True(time.Since(start) < 2*time.Second)
	ended, _ := s.queue.endedOf(task.ID())
	is.Equal(ended.Outcome().Code(), order.WorkerLost)
}

// Guards against lost answers that cause repeated tasks or lost outcomes.
func TestLostAnswersRepeatNothing(t *testing.T) {
	is := is.New(t)
	s := newTestEnv(t, 2)
	g, stop := s.run(1)
	defer stop()
	s.eventually("workers are read", g.Adopted)
	s.configureWorkers(`{"drop_answers": true}`)
	const tasks = 20
	for i := range tasks {
		bid(g, testTask(fmt.Sprintf("r%d", i), 1000, `{"run_ms":5}`), 1)
	}
	time.Sleep(700 * time.Millisecond)
	s.configureWorkers(`{"drop_answers": false}`)
	s.eventually("all tasks end", func() bool { return s.queue.endedCount() == tasks })
	is.Equal(len(s.workers.Audit().Repeated), 0)
	for i := range tasks {
		ended, _ := s.queue.endedOf(order.NewTaskID("tags", order.RequestID(fmt.Sprintf("r%d", i)), 0))
		is.Equal(ended.Outcome().Code(), order.Done)
	}
}

// Guards against two owners at once. The worker's fence must reject the former
// one, which has not noticed that its ownership expired.
func TestFenceRejectsFormerOwner(t *testing.T) {
	is := is.New(t)
	s := newTestEnv(t, 1)
	former, stop := s.run(1)
	defer stop()
	s.eventually("former owner is ready", former.Adopted)
	successor, stop := s.run(2)
	defer stop()
	s.eventually("successor is ready", successor.Adopted)
	task := testTask("late", 1000, `{"run_ms":5}`)
	s.queue.mu.Lock()
	s.queue.group = former
	s.queue.mu.Unlock()
	bid(former, task, 1)
	s.eventually("start is refused", func() bool { return s.queue.endedCount() == 1 })
	ended, _ := s.queue.endedOf(task.ID())
	is.True(ended.NotStarted())
	is.Equal(s.workers.Audit().Starts, 0)
}

// Guards against a full inbox that blocks the sender or drops a bid without an
// answer.
func TestFullInboxRefusesBids(t *testing.T) {
	is := is.New(t)
	s := newTestEnv(t, 1)
	deps := placement.NewDeps(s.clock, s.registry, zerolog.Nop()).
		WithGuard(s.guard).WithPoster(s.queue).WithStore(s.store).WithConfig(s.currentConfig).
		WithWorkers(func() []roster.Worker { return s.roster })
	g := placement.New(testGroup, 1, deps, placement.WithInbox(1))
	bid(g, testTask("a", 1000, ""), 1)
	bid(g, testTask("b", 1000, ""), 1)
	is.Equal(s.queue.refused["tags/b/0"], order.QueueFull)
	g.Close()
	is.Equal(g.Run(context.Background()), placement.ErrClosed)
}

// Guards against a task that is larger than any worker and waits, against
// starts of a team without an allotment record, and against a record that is
// written later and never read.
func TestRefusalsAndMissingAllotment(t *testing.T) {
	is := is.New(t)
	s := newTestEnv(t, 1)
	g, stop := s.run(1)
	defer stop()
	s.eventually("workers are read", g.Adopted)
	bid(g, testTask("large", 9000, ""), 1)
	s.eventually("large task is refused", func() bool {
		s.queue.mu.Lock()
		defer s.queue.mu.Unlock()
		return s.queue.refused["tags/large/0"] == order.TooLarge
	})
	unallotted := testTask("x", 1000, "").WithTeam("barges")
	bid(g, unallotted, 1)
	time.Sleep(300 * time.Millisecond)
	is.Equal(s.workers.Audit().Starts, 0)
	is.Equal(g.Digest().Waiting()["barges"], 1)
	s.mu.Lock()
	s.config = s.config.WithTeam(sheet.NewTeam("barges", 1, 10))
	s.mu.Unlock()
	s.allot("barges", 10, 10)
	s.eventually("record is read", func() bool { return s.queue.endedCount() == 1 })
}

// Guards against calls that are still open after Close.
func TestCloseWaitsForCalls(t *testing.T) {
	s := newTestEnv(t, 1)
	g, stop := s.run(1)
	s.eventually("workers are read", g.Adopted)
	s.configureWorkers(`{"pause": true}`)
	start := time.Now()
	stop()
	is.New(t).True(time.Since(start) < time.Second)
}

// Guards against a planned handover after which an offered attempt that never
// started is reported as unknown, and against starts by a group that drains.
func TestDrainHandsOverOffers(t *testing.T) {
	is := is.New(t)
	s := newTestEnv(t, 1)
	s.queue.holdOffers = true
	first, stop := s.run(1)
	s.eventually("workers are read", first.Adopted)
	offered, late := testTask("offered", 1000, ""), testTask("late", 1000, "")
	bid(first, offered, 1)
	s.eventually("offer arrives", func() bool {
		s.queue.mu.Lock()
		defer s.queue.mu.Unlock()
		return s.queue.offered[offered.ID()]
	})
	state := first.Drain()
	bid(first, late, 1)
	stop()
	second, stop := s.run(2, placement.WithHandoverState(state))
	defer stop()
	s.eventually("successor is ready", second.Adopted)
	second.Handle("", order.ConfirmMsg{}.WithTask(offered.ID()).WithAttempt(1))
	s.eventually("attempt is answered", func() bool { return s.queue.endedCount() == 1 })
	ended, _ := s.queue.endedOf(offered.ID())
	is.True(ended.NotStarted())
	is.Equal(ended.Epoch(), order.Epoch(1))
	is.Equal(s.workers.Audit().Starts, 0)
}

package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/dispatch"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"
)

// fixture drives a machine step by step. It executes each command at once and
// answers it as a worker would, unless the worker is in unreachable.
type fixture struct {
	*is.I
	m           *machine
	now         time.Time
	guard       time.Duration
	config      *sheet.Config
	workers     []roster.Worker
	unreachable map[order.WorkerID]bool
	clock       int64
	incarnation string
	posted      []order.Msg
	starts      []startCommand
	stops       []stopCommand
	holdStarts  bool // starts get no answer
	holdLists   bool // task list requests get no answer
}

func newFixture(t *testing.T, workers int) *fixture {
	f := &fixture{
		I:           is.New(t),
		now:         time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		guard:       guardPeriod,
		config:      sheet.NewConfig(1),
		unreachable: make(map[order.WorkerID]bool),
	}
	for i := range workers {
		size := order.Resources{}.WithCores(4000).WithMemory(4 << 30)
		f.workers = append(f.workers, roster.NewWorker(order.WorkerID(fmt.Sprintf("w%d", i)), "", "east", "r1").WithSize(size, 4, 8))
	}
	for _, team := range simTeams {
		f.config = f.config.WithTeam(sheet.NewTeam(team, 1, 100))
	}
	registry := gauge.New(zerolog.Nop())
	registry.SetStrict(true)
	deps := NewDeps(nil, registry, zerolog.Nop()).
		WithGuard(f).
		WithConfig(func() *sheet.Config { return f.config }).
		WithWorkers(func() []roster.Worker { return f.workers })
	f.m = newMachine(simGroup, 1, deps, f.now)
	return f
}

// Remaining implements order.Guard.
func (f *fixture) Remaining() time.Duration { return f.guard }

// setUp reads the task lists of all workers and gives each team an allotment
// equal to its limit.
func (f *fixture) setUp() *fixture {
	f.step(tickEvent{})
	records := make(map[order.TeamName]allotment)
	for _, team := range simTeams {
		records[team] = allotment{count: 100, version: 1, limit: 100}
	}
	f.step(allotmentsResult{records: records})
	return f
}

func (f *fixture) stamp() dispatch.Stamp {
	f.clock = max(f.clock+1, f.now.Sub(f.m.takeoverAt).Microseconds())
	return dispatch.NewStamp("run"+f.incarnation, f.clock)
}

func (f *fixture) step(ev event) {
	for _, c := range slices.Clone(f.m.step(f.now, ev)) {
		f.execute(c)
	}
}

func (f *fixture) execute(cmd command) {
	switch cmd := cmd.(type) {
	case postCommand:
		f.posted = append(f.posted, cmd.message)
	case startCommand:
		f.starts = append(f.starts, cmd)
		if !f.holdStarts {
			f.step(startResult{worker: cmd.worker, ref: refOfStart(cmd.start), stamp: f.stamp(), err: f.callError(cmd.worker)})
		}
	case stopCommand:
		f.stops = append(f.stops, cmd)
	case listCommand:
		if f.holdLists {
			return
		}
		f.step(listResult{worker: cmd.worker, listing: f.listing(cmd.worker), err: f.callError(cmd.worker)})
	case renewCommand:
		f.step(renewResult{worker: cmd.worker, renewal: dispatch.NewRenewal(f.stamp(), nil), err: f.callError(cmd.worker)})
	}
}

// listing returns a task list with the tasks that the machine has as running on
// the worker.
func (f *fixture) listing(id order.WorkerID) dispatch.Listing {
	var running []dispatch.RunningTask
	for _, e := range f.m.byID[id].tasks {
		if e.state == order.TaskRunning {
			running = append(running, dispatch.NewRunningTask(e.task, e.attempt, e.reserved.resources(), e.startedAt))
		}
	}
	return dispatch.NewListing(f.stamp(), running, nil)
}

// callError returns the error of a call to the worker: a lost answer if it is
// unreachable.
func (f *fixture) callError(id order.WorkerID) error {
	if f.unreachable[id] {
		return dispatch.ErrUncertain
	}
	return nil
}

// advance moves the time forward in steps of tickPeriod, with a tick event
// each.
func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickPeriod)
		f.step(tickEvent{})
	}
}

func (f *fixture) send(msg order.Msg) { f.step(messageEvent{message: msg}) }

func (f *fixture) bid(task order.Task) {
	f.send(order.BidMsg{}.WithTask(task).WithAttempt(1))
}

func (f *fixture) confirm(task order.Task) {
	f.send(order.ConfirmMsg{}.WithTask(task.ID()).WithAttempt(1))
}

func (f *fixture) run(task order.Task) {
	f.bid(task)
	f.confirm(task)
}

// endTask reports an outcome from the worker and acknowledges it for the
// request partition.
func (f *fixture) endTask(c startCommand, code order.Code, duration time.Duration) {
	outcome := order.Outcome{}.WithTask(c.start.Task().ID()).WithAttempt(c.start.Attempt()).WithCode(code).
		WithStarted(f.now.Add(-duration)).WithEnded(f.now)
	f.step(pollResult{worker: c.worker, events: dispatch.NewEvents(f.stamp(), 1, []dispatch.EndedTask{dispatch.NewEndedTask(c.start.Task(), outcome)})})
	f.send(order.EndedAckMsg{}.WithTask(outcome.Task()).WithAttempt(outcome.Attempt()))
}

func (f *fixture) offers() []order.TaskID {
	var ids []order.TaskID
	for _, msg := range f.posted {
		if offer, ok := msg.(order.OfferMsg); ok {
			ids = append(ids, offer.Task())
		}
	}
	return ids
}

func (f *fixture) ended(task order.Task) (order.EndedMsg, bool) {
	for _, msg := range f.posted {
		if ended, ok := msg.(order.EndedMsg); ok && ended.Outcome().Task() == task.ID() {
			return ended, true
		}
	}
	return order.EndedMsg{}, false
}

func refOfStart(s dispatch.StartRequest) dispatch.AttemptRef {
	return dispatch.NewAttemptRef(s.Task().ID(), s.Attempt())
}

func newTask(team order.TeamName, name string, cores order.MilliCores) order.Task {
	id := order.NewTaskID(team, order.RequestID(name), 0)
	return order.Task{}.WithID(id).WithRequest(order.RequestID(name)).WithPartition(id.Partition()).
		WithTeam(team).WithKind(order.Batch).WithSize(order.Resources{}.WithCores(cores).WithMemory(1 << 20))
}

// Guards against reporting a lost worker while its task may still run, or later
// than 10.5 s after its last clock reading. (Failure table: worker dies, worker
// pauses, owner cut off from workers, rack gone.)
func TestLostWorkerIsReportedAfterItsLease(t *testing.T) {
	f := newFixture(t, 2).setUp()
	first, second := newTask("tags", "a", 3000), newTask("tags", "b", 3000)
	f.run(first)
	f.run(second)
	f.advance(5 * time.Second)
	renewed := f.m.entries[first.ID()].leaseBase
	f.unreachable["w0"], f.unreachable["w1"] = true, true
	for f.now.Before(renewed.Add(taskLease + leaseMargin - tickPeriod)) {
		f.advance(tickPeriod)
	}
	_, reportedEarly := f.ended(first)
	f.True(!reportedEarly)
	f.advance(renewPeriod + 2*tickPeriod)
	for _, task := range []order.Task{first, second} {
		ended, ok := f.ended(task)
		f.True(ok)
		f.Equal(ended.Outcome().Code(), order.WorkerLost)
		f.True(!ended.NotStarted())
	}
}

// Guards against reporting a task as not started, or as having run, when the
// answer to its start was lost and its worker became unreachable. (Failure
// table: worker dies.)
func TestUnconfirmedStartOnLostWorkerIsUnknown(t *testing.T) {
	f := newFixture(t, 1).setUp()
	task := newTask("tags", "a", 1000)
	f.bid(task)
	f.unreachable["w0"] = true
	f.confirm(task)
	f.advance(taskLease - time.Second)
	_, reportedEarly := f.ended(task)
	f.True(!reportedEarly)
	f.advance(2 * time.Second)
	ended, ok := f.ended(task)
	f.True(ok)
	f.Equal(ended.Outcome().Code(), order.OutcomeUnknown)
	f.Equal(ended.Outcome().Text(), "the worker neither answered the start nor listed the task before its lease expired")
	f.True(!ended.NotStarted())
}

// Guards against reporting the outcome of a start that certainly was not sent
// as unknown, and against not starting the task on another worker.
func TestUnsentStartMovesToAnotherWorker(t *testing.T) {
	f := newFixture(t, 2).setUp()
	task := newTask("tags", "a", 1000)
	f.holdStarts = true
	f.run(task)
	f.Equal(len(f.starts), 1)
	f.step(startResult{worker: f.starts[0].worker, ref: refOfStart(f.starts[0].start), err: dispatch.ErrNotSent})
	f.Equal(len(f.starts), 2)
	f.True(f.starts[0].worker != f.starts[1].worker)
	f.step(startResult{worker: f.starts[1].worker, ref: refOfStart(f.starts[1].start), err: dispatch.ErrNotSent})
	ended, ok := f.ended(task)
	f.True(ok)
	f.True(ended.NotStarted())
	f.Equal(ended.Outcome().Code().RunStatus(), order.RunNo)
}

// Guards against starts on a leaving worker, and against ending the tasks that
// still run on it. (Failure table: worker leaves.)
func TestLeavingWorkerGetsNoWork(t *testing.T) {
	f := newFixture(t, 2).setUp()
	running, held, waiting := newTask("tags", "a", 1000), newTask("tags", "b", 1000), newTask("tags", "c", 3500)
	f.run(running)
	f.bid(held)
	f.Equal(f.m.entries[held.ID()].host.id(), order.WorkerID("w0"))
	f.workers[0] = f.workers[0].WithLeaving(true)
	f.advance(hostRefreshPeriod)
	f.confirm(held)
	f.run(waiting)
	f.Equal(f.starts[1].worker, order.WorkerID("w1"))
	f.Equal(len(f.starts), 2)
	f.advance(time.Minute)
	_, ended := f.ended(running)
	f.True(!ended)
}

// Guards against starts in a failure domain that operators closed, and against
// bids that keep waiting there. (Failure table: failure domain gone.)
func TestClosedDomainRejectsWork(t *testing.T) {
	f := newFixture(t, 1).setUp()
	held, waiting := newTask("tags", "a", 3000), newTask("tags", "b", 3000)
	f.bid(held)
	f.bid(waiting)
	f.config = f.config.WithDomain("east", false)
	f.confirm(held)
	f.advance(bidPeriod)
	f.Equal(len(f.starts), 0)
	ended, ok := f.ended(held)
	f.True(ok && ended.NotStarted())
	refused, ok := f.posted[len(f.posted)-1].(order.BidRefusedMsg)
	f.True(ok)
	f.Equal(refused.Code(), order.NoDomain)
}

// Guards against starts by an owner whose ownership is about to expire.
// (Failure table: placer pauses past its promise.)
func TestShortGuardPreventsStarts(t *testing.T) {
	f := newFixture(t, 1).setUp()
	held, waiting := newTask("tags", "a", 1000), newTask("tags", "b", 1000)
	f.bid(held)
	f.guard = dispatch.TCPUserTimeout
	f.bid(waiting)
	f.confirm(held)
	f.Equal(len(f.starts), 0)
	f.Equal(len(f.offers()), 1)
	ended, _ := f.ended(held)
	f.True(ended.NotStarted())
}

// Guards against a worker that keeps getting tasks although it fails them at
// once, and against a cooldown that never ends. (Failure table: worker fails
// everything.)
func TestFailingWorkerCoolsDown(t *testing.T) {
	f := newFixture(t, 2).setUp()
	n := 0
	try := func(worker order.WorkerID, code order.Code) bool {
		n++
		task := newTask("tags", fmt.Sprint("r", n), 100)
		f.m.bids.add(&bid{task: newTask("barges", fmt.Sprint("x", n), 9e6), queued: f.now})
		before := len(f.starts)
		f.workers[0], f.workers[1] = f.workers[0].WithLeaving(worker != "w0"), f.workers[1].WithLeaving(worker != "w1")
		f.advance(hostRefreshPeriod)
		f.run(task)
		if len(f.starts) == before {
			f.send(order.WithdrawMsg{}.WithTask(task.ID()).WithAttempt(1))
			return false
		}
		f.endTask(f.starts[before], code, time.Millisecond)
		return true
	}
	f.True(try("w1", order.Done))
	for range failureThreshold {
		f.True(try("w0", order.TaskFailed))
	}
	f.True(!try("w0", order.TaskFailed))
	f.advance(minCooldown)
	f.True(try("w0", order.TaskFailed))
	f.advance(minCooldown)
	f.True(!try("w0", order.Done))
	f.advance(minCooldown)
	f.True(try("w0", order.Done))
	f.True(try("w0", order.Done))
}

// Guards against a job that fails on every worker and so puts all workers into
// cooldown.
func TestBrokenJobCoolsDownNoWorker(t *testing.T) {
	f := newFixture(t, 2).setUp()
	for i := range 20 {
		f.run(newTask("tags", fmt.Sprint("r", i), 1000))
		f.endTask(f.starts[i], order.TaskFailed, time.Millisecond)
	}
	f.Equal(len(f.starts), 20)
}

// Guards against more than one probe task on a worker whose cooldown has just
// ended.
func TestCooldownAllowsOneProbe(t *testing.T) {
	f := newFixture(t, 1).setUp()
	f.m.startCooldown(f.now, f.m.hosts[0])
	f.advance(minCooldown)
	f.bid(newTask("tags", "a", 100))
	f.bid(newTask("tags", "b", 100))
	f.Equal(len(f.offers()), 1)
}

// Guards against duplicate bids or confirmations that start a task twice or
// reserve capacity for it twice.
func TestDuplicatesAreIdempotent(t *testing.T) {
	f := newFixture(t, 2).setUp()
	task := newTask("tags", "a", 1000)
	f.bid(task)
	f.bid(task)
	f.Equal(f.m.held["tags"], 1)
	f.confirm(task)
	f.confirm(task)
	f.bid(task)
	f.Equal(len(f.starts), 1)
	f.Equal(f.m.active["tags"], 1)
	f.endTask(f.starts[0], order.Done, time.Second)
	f.confirm(task)
	f.bid(task)
	f.Equal(len(f.starts), 1)
	f.Equal(len(f.m.entries), 0)
}

// Guards against capacity that stays reserved for an offer without an answer,
// and against a late confirmation that starts a task without a reservation.
func TestOfferExpires(t *testing.T) {
	f := newFixture(t, 1).setUp()
	task := newTask("tags", "a", 4000)
	f.bid(task)
	f.advance(offerHold * (maxOffers + 1))
	f.Equal(len(f.m.entries), 0)
	f.Equal(f.m.hosts[0].reserved, amount{})
	f.confirm(task)
	f.Equal(len(f.starts), 0)
	ended, ok := f.ended(task)
	f.True(ok && ended.NotStarted())
}

// Guards against an unknown outcome of a task that did not start: the
// confirmation or the stop of an expired offer arrives while the task waits for
// the next one, or after its bid was refused.
func TestExpiredOfferDidNotStart(t *testing.T) {
	confirm := order.ConfirmMsg{}.WithTask(newTask("tags", "a", 4000).ID()).WithAttempt(1)
	stop := order.StopMsg{}.WithTask(newTask("tags", "a", 4000).ID()).WithAttempt(1)
	for _, test := range []struct {
		name    string
		late    order.Msg
		expired int
		refused bool
	}{
		{"confirmed while waiting", confirm, 1, false},
		{"stopped while waiting", stop, 1, false},
		{"confirmed after the last offer", confirm, maxOffers, false},
		{"confirmed after a refusal", confirm, 1, true},
		{"stopped after a refusal", stop, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1).setUp()
			task := newTask("tags", "a", 4000)
			f.bid(task)
			f.advance(offerHold*time.Duration(test.expired-1) + offerHold/2)
			open := f.config
			f.guard = dispatch.TCPUserTimeout
			if test.refused {
				f.config = open.WithDomain("east", false)
			}
			f.advance(offerHold)
			f.Equal(len(f.m.entries), 0)
			f.bid(task)
			f.Equal(f.m.bids.len() == 0, test.refused)
			f.send(test.late)
			ended, ok := f.ended(task)
			f.True(ok)
			f.True(ended.NotStarted())
			f.Equal(ended.Epoch(), order.Epoch(1))
			f.config, f.guard = open, guardPeriod
			offers := len(f.offers())
			f.advance(offerHold)
			f.Equal(len(f.offers()), offers)
			f.Equal(len(f.starts), 0)
		})
	}
}

// Guards against an unknown outcome of a task that did not start: the partition
// withdraws its bid, bids again and confirms the offer that crossed the two.
func TestWithdrawnOfferDidNotStart(t *testing.T) {
	for _, bidsAgain := range []bool{false, true} {
		f := newFixture(t, 1).setUp()
		task := newTask("tags", "a", 4000)
		f.bid(task)
		f.Equal(len(f.offers()), 1)
		f.guard = dispatch.TCPUserTimeout
		f.send(order.WithdrawMsg{}.WithTask(task.ID()).WithAttempt(1))
		f.Equal(len(f.m.entries), 0)
		if bidsAgain {
			f.bid(task)
		}
		f.confirm(task)
		ended, ok := f.ended(task)
		f.True(ok)
		f.True(ended.NotStarted())
		f.Equal(ended.Epoch(), order.Epoch(1))
		f.guard = guardPeriod
		f.advance(offerHold)
		f.Equal(len(f.offers()), 1)
		f.Equal(len(f.starts), 0)
	}
}

// Guards against a task that fits on no worker and waits forever.
func TestTooLargeIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 2).setUp()
	f.bid(newTask("tags", "a", 4001))
	refused, ok := f.posted[len(f.posted)-1].(order.BidRefusedMsg)
	f.True(ok)
	f.Equal(refused.Code(), order.TooLarge)
	f.Equal(f.m.bids.len(), 0)
}

// Guards against starts above a team's allotment, starts of a team without an
// allotment record, and starts above a configured limit that is lower than the
// one that was divided.
func TestAllotments(t *testing.T) {
	f := newFixture(t, 4)
	f.step(tickEvent{})
	f.step(allotmentsResult{records: map[order.TeamName]allotment{"tags": {count: 5, version: 1, limit: 100}}})
	for i := range 8 {
		f.run(newTask("tags", fmt.Sprint("r", i), 100))
		f.run(newTask("barges", fmt.Sprint("r", i), 100))
	}
	f.Equal(f.m.active["tags"], 5)
	f.Equal(f.m.active["barges"], 0)
	f.config = f.config.WithTeam(sheet.NewTeam("tags", 1, 39))
	f.Equal(f.m.allowed("tags"), 1)
	f.endTask(f.starts[0], order.Done, time.Second)
	f.Equal(f.m.held["tags"], 0)
}

// Guards against acknowledging a decrease below what still runs, which the
// quota owner would then give to another group, and against an older message
// that overwrites a newer one.
func TestAllotAckCountsWhatRuns(t *testing.T) {
	f := newFixture(t, 2).setUp()
	for i := range 3 {
		f.run(newTask("tags", fmt.Sprint("r", i), 100))
	}
	f.send(order.AllotMsg{}.WithTeam("tags").WithCount(1).WithVersion(7).WithLimit(100))
	ack := f.posted[len(f.posted)-1].(order.AllotAckMsg)
	f.Equal(ack.Count(), 3)
	f.Equal(ack.Running(), 3)
	f.send(order.AllotMsg{}.WithTeam("tags").WithCount(50).WithVersion(6).WithLimit(100))
	f.Equal(f.m.allowed("tags"), 1)
	f.run(newTask("tags", "more", 100))
	f.Equal(len(f.starts), 3)
}

// Guards against a lowered limit that stops the oldest tasks, tasks that cannot
// be checkpointed, or more tasks than the excess.
func TestLoweredLimitCheckpointsYoungest(t *testing.T) {
	f := newFixture(t, 2).setUp()
	for i := range 4 {
		f.run(newTask("tags", fmt.Sprint("r", i), 100).WithCheckpoint(i != 3))
		f.advance(tickPeriod)
	}
	f.config = f.config.WithTeam(sheet.NewTeam("tags", 1, 2))
	f.advance(excessPeriod + stopRetry/2)
	f.Equal(len(f.stops), 2)
	for i, name := range []order.RequestID{"r2", "r1"} {
		f.True(f.stops[i].checkpoint)
		f.Equal(f.stops[i].ref.Task(), order.NewTaskID("tags", name, 0))
	}
}

// Guards against offering a gang capacity for more tasks than fit, and against
// reservations that outlast the hold.
func TestGangHold(t *testing.T) {
	f := newFixture(t, 2).setUp()
	var tasks []order.Task
	for i := range 3 {
		id := order.NewTaskID("tags", "gang", i)
		tasks = append(tasks, newTask("tags", "gang", 3000).WithID(id).WithIndex(i))
	}
	f.send(order.HoldMsg{}.WithRequest("gang").WithTasks(tasks).WithAttempt(1))
	held := f.posted[len(f.posted)-1].(order.HoldReplyMsg)
	f.Equal(len(held.Tasks()), 2)
	f.confirm(tasks[0])
	f.send(order.DeclineMsg{}.WithTask(tasks[1].ID()).WithAttempt(1))
	f.Equal(f.m.active["tags"], 1)
	f.Equal(f.m.held["tags"], 0)
	f.send(order.HoldMsg{}.WithRequest("gang").WithTasks(tasks[1:2]).WithAttempt(1))
	f.Equal(f.m.held["tags"], 1)
	f.advance(gangHold + tickPeriod)
	f.Equal(f.m.held["tags"], 0)
}

// Guards against a lost stop that is not repeated, and against starting a task
// that was cancelled.
func TestStop(t *testing.T) {
	f := newFixture(t, 1).setUp()
	held, starting := newTask("tags", "a", 1000), newTask("tags", "b", 1000)
	f.bid(held)
	f.send(order.StopMsg{}.WithTask(held.ID()).WithAttempt(1))
	ended, _ := f.ended(held)
	f.True(ended.NotStarted())
	f.Equal(ended.Outcome().Code(), order.CancelledBeforeRun)
	f.holdStarts = true
	f.run(starting)
	f.send(order.StopMsg{}.WithTask(starting.ID()).WithAttempt(1))
	f.Equal(len(f.stops), 0)
	f.step(startResult{worker: "w0", ref: refOfStart(f.starts[0].start), stamp: f.stamp()})
	f.Equal(len(f.stops), 1)
	f.advance(stopRetry)
	f.Equal(len(f.stops), 2)
}

// Guards against previews that wait behind batch tasks, and against previews
// that starve batch tasks.
func TestUrgentFirstWithoutStarvation(t *testing.T) {
	f := newFixture(t, 1).setUp()
	f.workers[0] = f.workers[0].WithLeaving(true)
	f.advance(hostRefreshPeriod)
	for i := range 20 {
		f.bid(newTask("tags", fmt.Sprintf("batch%02d", i), 100))
		f.bid(newTask("tags", fmt.Sprintf("preview%02d", i), 100).WithKind(order.Preview))
	}
	f.workers[0] = f.workers[0].WithLeaving(false).WithSize(f.workers[0].Size(), 16, 16)
	f.advance(hostRefreshPeriod)
	previews := 0
	for _, id := range f.offers()[:16] {
		if f.m.entries[id].task.Kind() == order.Preview {
			previews++
		}
	}
	f.Equal(f.m.entries[f.offers()[0]].task.Kind(), order.Preview)
	f.Equal(previews, 14)
}

// Guards against giving capacity to a team above its share while a team below
// its share waits.
func TestTeamBelowItsShareGoesFirst(t *testing.T) {
	f := newFixture(t, 1).setUp()
	f.config = f.config.WithTeam(sheet.NewTeam("barges", 3, 100))
	f.workers[0] = f.workers[0].WithLeaving(true)
	f.advance(hostRefreshPeriod)
	for i := range 10 {
		f.bid(newTask("tags", fmt.Sprint("a", i), 1000))
		f.bid(newTask("barges", fmt.Sprint("b", i), 1000))
	}
	f.workers[0] = f.workers[0].WithLeaving(false)
	f.advance(hostRefreshPeriod)
	f.Equal(f.m.held["barges"], 3)
	f.Equal(f.m.held["tags"], 1)
}

// Guards against placing tasks that need no accelerator on workers that have
// some, which would leave no capacity for tasks that need one.
func TestAcceleratorsAreKeptFree(t *testing.T) {
	f := newFixture(t, 2)
	f.workers[0] = f.workers[0].WithSize(f.workers[0].Size().WithAccelerators(2).WithMemory(8<<30), 4, 8)
	f.setUp()
	for i := range 4 {
		f.bid(newTask("tags", fmt.Sprint("r", i), 2000))
	}
	f.Equal(len(f.offers()), 2)
	accelerated := newTask("tags", "fast", 100)
	f.bid(accelerated.WithSize(accelerated.Size().WithAccelerators(1)))
	f.Equal(f.m.entries[accelerated.ID()].host.id(), order.WorkerID("w0"))
	large := newTask("tags", "large", 100)
	f.bid(large.WithSize(large.Size().WithMemory(6 << 30)))
	f.Equal(f.m.entries[large.ID()].host.id(), order.WorkerID("w0"))
}

// Guards against declared sizes that are wrong by a factor of ten and so
// overload workers or leave them idle.
func TestReportedUseCorrectsSizes(t *testing.T) {
	f := newFixture(t, 4).setUp()
	measure := func(team order.TeamName, cores order.MilliCores, times int) {
		task := newTask(team, "measured", cores)
		for range times {
			factor := useFactors[team]
			used := newAmount(task.Size())
			used.cores, used.memory = int64(float64(used.cores)*factor), int64(float64(used.memory)*factor)
			f.m.recordUsage(task, used)
		}
	}
	measure("barges", 100, samplesToRaise)
	measure("tags", 2000, samplesToLower)
	f.Equal(f.m.estimatedSize(newTask("barges", "a", 100)).cores, int64(1100))
	f.Equal(f.m.estimatedSize(newTask("barges", "a", 3000)).cores, int64(4000))
	f.Equal(f.m.estimatedSize(newTask("tags", "a", 2000)).cores, int64(220))
}

// Guards against a usage report that frees reserved capacity, or use above the
// reservation that is not counted.
func TestCapacityCountsLargerOfReservedAndReported(t *testing.T) {
	f := newFixture(t, 1).setUp()
	task := newTask("tags", "a", 1000)
	f.run(task)
	report := func(cores order.MilliCores) {
		f.step(usageResult{worker: "w0", uses: []dispatch.TaskUsage{dispatch.NewTaskUsage(dispatch.NewAttemptRef(task.ID(), 1), order.Resources{}.WithCores(cores))}})
	}
	report(10)
	f.Equal(f.m.hosts[0].free().cores, int64(3000))
	report(3500)
	f.Equal(f.m.hosts[0].free().cores, int64(500))
}

// Guards against a new owner that starts tasks before it has read what runs on
// the workers, and against one that waits forever for a worker that no longer
// exists.
func TestTakeoverWaitsForWorkersOrTheirLeases(t *testing.T) {
	f := newFixture(t, 2)
	f.unreachable["w1"] = true
	f.setUp()
	f.True(!f.m.adopted())
	f.m.allotments["tags"] = allotment{count: 4, version: 2, limit: 100}
	f.bid(newTask("tags", "a", 100))
	f.Equal(len(f.offers()), 0)
	f.advance(taskLease + leaseMargin)
	f.True(f.m.adopted())
	f.Equal(len(f.offers()), 1)
	f.Equal(f.m.entries["tags/a/0"].host.id(), order.WorkerID("w0"))
}

// Guards against a large task that waits forever because small tasks take all
// capacity that becomes free.
func TestLargeTaskIsNotStarved(t *testing.T) {
	f := newFixture(t, 2).setUp()
	next := 0
	small := func() {
		f.run(newTask("tags", fmt.Sprintf("r%04d", next), 1000).WithQueued(f.now))
		next++
	}
	for range 8 {
		small()
	}
	large := newTask("tags", "large", 4000).WithQueued(f.now)
	f.bid(large)
	for i := 0; f.m.entries[large.ID()] == nil; i++ {
		f.True(f.now.Sub(f.m.takeoverAt) < time.Minute)
		f.advance(200 * time.Millisecond)
		f.endTask(f.starts[i], order.Done, time.Second)
		small()
	}
	f.True(f.now.Sub(large.Queued()) < 2*reserveDelay)
}

// Guards against a start on a worker that became too small after the offer,
// because the host list shows a smaller size or a stray task was adopted.
func TestShrunkWorkerRejectsStart(t *testing.T) {
	f := newFixture(t, 1).setUp()
	task := newTask("tags", "a", 3000)
	f.bid(task)
	f.workers[0] = f.workers[0].WithSize(order.Resources{}.WithCores(2000).WithMemory(4<<30), 4, 8)
	f.advance(hostRefreshPeriod / 2)
	f.m.refreshHosts(f.now)
	f.confirm(task)
	f.Equal(len(f.starts), 0)
	ended, ok := f.ended(task)
	f.True(ok && ended.NotStarted())
}

// Guards against a task that gets no renewals and no capacity because the new
// owner does not have it. A former owner started it after the task list was
// read, on a worker without fencing.
func TestStrayTaskIsAdopted(t *testing.T) {
	f := newFixture(t, 1).setUp()
	stray := newTask("tags", "stray", 1000)
	f.step(usageResult{worker: "w0", uses: []dispatch.TaskUsage{dispatch.NewTaskUsage(dispatch.NewAttemptRef(stray.ID(), 1), stray.Size())}})
	f.True(f.m.hosts[0].nextList.After(f.now))
	f.step(listResult{worker: "w0", listing: dispatch.NewListing(f.stamp(), []dispatch.RunningTask{
		dispatch.NewRunningTask(stray, 1, stray.Size(), f.now),
	}, nil)})
	f.Equal(f.m.active["tags"], 1)
	f.Equal(f.m.hosts[0].reserved.cores, int64(1000))
}

// Guards against a repeated decrease whose acknowledgement leaves out the tasks
// that a worker with an unread task list may run for an earlier owner.
func TestRepeatedAllotCountsUnreadWorkers(t *testing.T) {
	f := newFixture(t, 2)
	f.unreachable["w1"] = true
	msg := order.AllotMsg{}.WithTeam("tags").WithCount(0).WithVersion(2).WithLimit(100)
	f.send(msg)
	f.Equal(len(f.posted), 0)
	f.step(tickEvent{})
	f.step(allotmentsResult{records: map[order.TeamName]allotment{"tags": {count: 3, version: 1, limit: 100}}})
	for range 2 {
		f.send(msg)
		f.Equal(f.posted[len(f.posted)-1].(order.AllotAckMsg).Count(), 3)
	}
	f.advance(taskLease + leaseMargin)
	f.send(msg)
	f.Equal(f.posted[len(f.posted)-1].(order.AllotAckMsg).Count(), 0)
}

// Guards against repeating a start on a worker that ran the task and then lost
// it in a crash.
func TestStartIsNotRepeatedAfterACrash(t *testing.T) {
	f := newFixture(t, 1).setUp()
	task := newTask("tags", "a", 1000)
	f.holdStarts = true
	f.run(task)
	f.incarnation = "+1"
	f.step(listResult{worker: "w0", listing: dispatch.NewListing(f.stamp(), nil, nil)})
	f.holdLists = true
	f.step(startResult{worker: "w0", ref: refOfStart(f.starts[0].start), err: dispatch.ErrUncertain})
	f.advance(maxStampAge)
	f.Equal(len(f.starts), 1)
	ended, ok := f.ended(task)
	f.True(ok)
	f.Equal(ended.Outcome().Code(), order.OutcomeUnknown)
	f.True(!ended.NotStarted())
}

// Guards against taking the refusal of a repeated start as proof that the first
// one, whose answer was lost, did not arrive.
func TestRefusedRepeatLeavesStartUncertain(t *testing.T) {
	f := newFixture(t, 1).setUp()
	task := newTask("tags", "a", 1000)
	f.holdStarts = true
	f.run(task)
	f.step(startResult{worker: "w0", ref: refOfStart(f.starts[0].start), err: dispatch.ErrUncertain})
	f.advance(startRetry)
	f.Equal(len(f.starts), 2)
	f.step(startResult{worker: "w0", ref: refOfStart(f.starts[1].start), err: dispatch.NewRefusedError(dispatch.ReasonNoCapacity)})
	_, ok := f.ended(task)
	f.True(!ok)
	f.unreachable["w0"] = true
	f.advance(taskLease + 2*time.Second)
	ended, _ := f.ended(task)
	f.Equal(ended.Outcome().Code(), order.OutcomeUnknown)
	f.True(!ended.NotStarted())
}

// Guards against acknowledging an outcome to the worker, and so losing it,
// because an earlier hold of the same attempt had expired.
func TestOutcomeAfterExpiredHold(t *testing.T) {
	f := newFixture(t, 1).setUp()
	task := newTask("tags", "gang", 1000)
	hold := order.HoldMsg{}.WithRequest("gang").WithTasks([]order.Task{task}).WithAttempt(1)
	f.send(hold)
	f.advance(gangHold + tickPeriod)
	f.send(hold)
	f.confirm(task)
	f.Equal(len(f.starts), 1)
	f.endTask(f.starts[0], order.Done, time.Second)
	ended, ok := f.ended(task)
	f.True(ok)
	f.Equal(ended.Outcome().Code(), order.Done)
}

// Guards against starting an attempt on another worker while an earlier attempt
// runs, and against reporting an attempt that ran as not started. The worker's
// refusal reasons say which is the case.
func TestRefusalsForAttemptsThatRan(t *testing.T) {
	f := newFixture(t, 2).setUp()
	f.holdStarts = true
	first, second := newTask("tags", "a", 1000), newTask("tags", "b", 1000)
	f.run(first)
	f.step(startResult{worker: f.starts[0].worker, ref: refOfStart(f.starts[0].start), err: dispatch.NewRefusedError(dispatch.ReasonOtherAttempt)})
	f.run(second)
	f.step(startResult{worker: f.starts[1].worker, ref: refOfStart(f.starts[1].start), err: dispatch.NewRefusedError(dispatch.ReasonForgotten)})
	f.Equal(len(f.starts), 2)
	ended, _ := f.ended(first)
	f.True(ended.NotStarted())
	ended, _ = f.ended(second)
	f.Equal(ended.Outcome().Code(), order.OutcomeUnknown)
	f.True(!ended.NotStarted())
}

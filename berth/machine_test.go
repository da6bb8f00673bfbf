package berth

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/crane"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"
)

// fixture drives the decision code by hand: it answers commands at once as
// workers would, unless a worker is listed as dead.
type fixture struct {
	*is.I
	m       *machine
	now     time.Time
	guard   time.Duration
	config  *sheet.Config
	workers []roster.Worker
	dead    map[order.WorkerID]bool
	clock   int64
	crashes string
	posted  []order.Msg
	starts  []startCommand
	stops   []stopCommand
	hold    bool // leaves starts unanswered
	slow    bool // leaves task lists unanswered
}

func newFixture(t *testing.T, workers int) *fixture {
	f := &fixture{
		I:      is.New(t),
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		guard:  promise,
		config: sheet.NewConfig(1),
		dead:   make(map[order.WorkerID]bool),
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

// Reads the workers and gives each team the whole limit.
func (f *fixture) ready() *fixture {
	f.step(tickEvent{})
	records := make(map[order.TeamName]allotment)
	for _, team := range simTeams {
		records[team] = allotment{count: 100, version: 1, limit: 100}
	}
	f.step(allotmentsResult{records: records})
	return f
}

func (f *fixture) stamp() crane.Stamp {
	f.clock = max(f.clock+1, f.now.Sub(f.m.began).Microseconds())
	return crane.NewStamp("run"+f.crashes, f.clock)
}

func (f *fixture) step(ev event) {
	for _, c := range slices.Clone(f.m.step(f.now, ev)) {
		f.execute(c)
	}
}

func (f *fixture) execute(c command) {
	switch c := c.(type) {
	case postCommand:
		f.posted = append(f.posted, c.message)
	case startCommand:
		f.starts = append(f.starts, c)
		if !f.hold {
			f.step(startResult{worker: c.worker, ref: refOfStart(c.start), stamp: f.stamp(), err: f.fault(c.worker)})
		}
	case stopCommand:
		f.stops = append(f.stops, c)
	case listCommand:
		if f.slow {
			return
		}
		f.step(listResult{worker: c.worker, listing: f.listing(c.worker), err: f.fault(c.worker)})
	case renewCommand:
		f.step(renewResult{worker: c.worker, renewal: crane.NewRenewal(f.stamp(), nil), err: f.fault(c.worker)})
	}
}

// Lists what the group believes to run on a worker that answers.
func (f *fixture) listing(id order.WorkerID) crane.Listing {
	var running []crane.Running
	for _, e := range f.m.byID[id].tasks {
		if e.state == order.TaskRunning {
			running = append(running, crane.NewRunning(e.task, e.attempt, e.reserved.resources(), e.startedAt))
		}
	}
	return crane.NewListing(f.stamp(), running, nil)
}

func (f *fixture) fault(id order.WorkerID) error {
	if f.dead[id] {
		return crane.ErrUncertain
	}
	return nil
}

func (f *fixture) pass(d time.Duration) {
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

func (f *fixture) end(c startCommand, code order.Code, ran time.Duration) {
	outcome := order.Outcome{}.WithTask(c.start.Task().ID()).WithAttempt(c.start.Attempt()).WithCode(code).
		WithStarted(f.now.Add(-ran)).WithEnded(f.now)
	f.step(pollResult{worker: c.worker, events: crane.NewEvents(f.stamp(), 1, []crane.Ended{crane.NewEnded(c.start.Task(), outcome)})})
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

func refOfStart(s crane.Start) crane.Ref { return crane.NewRef(s.Task().ID(), s.Attempt()) }

func newTask(team order.TeamName, name string, cores order.MilliCores) order.Task {
	id := order.NewTaskID(team, order.RequestID(name), 0)
	return order.Task{}.WithID(id).WithRequest(order.RequestID(name)).WithPartition(id.Partition()).
		WithTeam(team).WithKind(order.Batch).WithSize(order.Resources{}.WithCores(cores).WithMemory(1 << 20))
}

// Guards against a lost worker that is reported too early, when its task may
// still run, or later than 10.5 s after its last clock reading (failure table:
// worker dies, worker pauses, owner cut off from workers, rack gone).
func TestLostWorkerIsReportedAfterItsLease(t *testing.T) {
	f := newFixture(t, 2).ready()
	first, second := newTask("tags", "a", 3000), newTask("tags", "b", 3000)
	f.run(first)
	f.run(second)
	f.pass(5 * time.Second)
	renewed := f.m.entries[first.ID()].leaseBase
	f.dead["w0"], f.dead["w1"] = true, true
	for f.now.Before(renewed.Add(taskLease + leaseMargin - tickPeriod)) {
		f.pass(tickPeriod)
	}
	_, early := f.ended(first)
	f.True(!early)
	f.pass(renewPeriod + 2*tickPeriod)
	for _, task := range []order.Task{first, second} {
		ended, ok := f.ended(task)
		f.True(ok)
		f.Equal(ended.Outcome().Code(), order.WorkerLost)
		f.True(!ended.NotStarted())
	}
}

// Guards against a lost start that is reported as not started, or as run,
// while nobody knows (failure table: worker dies).
func TestUnconfirmedStartOnLostWorkerIsUnknown(t *testing.T) {
	f := newFixture(t, 1).ready()
	task := newTask("tags", "a", 1000)
	f.bid(task)
	f.dead["w0"] = true
	f.confirm(task)
	f.pass(taskLease - time.Second)
	_, early := f.ended(task)
	f.True(!early)
	f.pass(2 * time.Second)
	ended, ok := f.ended(task)
	f.True(ok)
	f.Equal(ended.Outcome().Code(), order.OutcomeUnknown)
	f.True(!ended.NotStarted())
}

// Guards against a start that was certainly not written and is reported as
// unknown, or is not tried on another worker.
func TestUnsentStartMovesToAnotherWorker(t *testing.T) {
	f := newFixture(t, 2).ready()
	task := newTask("tags", "a", 1000)
	f.hold = true
	f.run(task)
	f.Equal(len(f.starts), 1)
	f.step(startResult{worker: f.starts[0].worker, ref: refOfStart(f.starts[0].start), err: crane.ErrNotSent})
	f.Equal(len(f.starts), 2)
	f.True(f.starts[0].worker != f.starts[1].worker)
	f.step(startResult{worker: f.starts[1].worker, ref: refOfStart(f.starts[1].start), err: crane.ErrNotSent})
	ended, ok := f.ended(task)
	f.True(ok)
	f.True(ended.NotStarted())
	f.Equal(ended.Outcome().Code().Run(), order.RunNo)
}

// Guards against starts on a leaving worker and against a leaving worker that
// takes its running tasks with it (failure table: worker leaves).
func TestLeavingWorkerGetsNoWork(t *testing.T) {
	f := newFixture(t, 2).ready()
	running, held, waiting := newTask("tags", "a", 1000), newTask("tags", "b", 1000), newTask("tags", "c", 3500)
	f.run(running)
	f.bid(held)
	f.Equal(f.m.entries[held.ID()].host.id(), order.WorkerID("w0"))
	f.workers[0] = f.workers[0].WithLeaving(true)
	f.pass(hostPeriod)
	f.confirm(held)
	f.run(waiting)
	f.Equal(f.starts[1].worker, order.WorkerID("w1"))
	f.Equal(len(f.starts), 2)
	f.pass(time.Minute)
	_, ended := f.ended(running)
	f.True(!ended)
}

// Guards against starts in a failure domain that operators took out, and
// against bids that wait there (failure table: failure domain gone).
func TestClosedDomainStartsNothing(t *testing.T) {
	f := newFixture(t, 1).ready()
	held, waiting := newTask("tags", "a", 3000), newTask("tags", "b", 3000)
	f.bid(held)
	f.bid(waiting)
	f.config = f.config.WithDomain("east", false)
	f.confirm(held)
	f.pass(bidPeriod)
	f.Equal(len(f.starts), 0)
	ended, ok := f.ended(held)
	f.True(ok && ended.NotStarted())
	refused, ok := f.posted[len(f.posted)-1].(order.BidRefusedMsg)
	f.True(ok)
	f.Equal(refused.Code(), order.NoDomain)
}

// Guards against starts by an owner whose promise is about to end (failure
// table: placer pauses past its promise).
func TestShortGuardStartsNothing(t *testing.T) {
	f := newFixture(t, 1).ready()
	held, waiting := newTask("tags", "a", 1000), newTask("tags", "b", 1000)
	f.bid(held)
	f.guard = crane.UserTimeout
	f.bid(waiting)
	f.confirm(held)
	f.Equal(len(f.starts), 0)
	f.Equal(len(f.offers()), 1)
	ended, _ := f.ended(held)
	f.True(ended.NotStarted())
}

// Guards against a worker that swallows work because it fails it at once, and
// against a cooldown that never ends (failure table: worker fails everything).
func TestFailingWorkerCoolsDown(t *testing.T) {
	f := newFixture(t, 2).ready()
	n := 0
	try := func(worker order.WorkerID, code order.Code) bool {
		n++
		task := newTask("tags", fmt.Sprint("r", n), 100)
		f.m.bids.add(&bid{task: newTask("barges", fmt.Sprint("x", n), 9e6), queued: f.now})
		before := len(f.starts)
		f.workers[0], f.workers[1] = f.workers[0].WithLeaving(worker != "w0"), f.workers[1].WithLeaving(worker != "w1")
		f.pass(hostPeriod)
		f.run(task)
		if len(f.starts) == before {
			f.send(order.WithdrawMsg{}.WithTask(task.ID()).WithAttempt(1))
			return false
		}
		f.end(f.starts[before], code, time.Millisecond)
		return true
	}
	f.True(try("w1", order.Done))
	for range failureCount {
		f.True(try("w0", order.TaskFailed))
	}
	f.True(!try("w0", order.TaskFailed))
	f.pass(cooldownFirst)
	f.True(try("w0", order.TaskFailed))
	f.pass(cooldownFirst)
	f.True(!try("w0", order.Done))
	f.pass(cooldownFirst)
	f.True(try("w0", order.Done))
	f.True(try("w0", order.Done))
}

// Guards against a broken job that puts all workers into cooldown.
func TestBrokenJobBlamesNoWorker(t *testing.T) {
	f := newFixture(t, 2).ready()
	for i := range 20 {
		f.run(newTask("tags", fmt.Sprint("r", i), 1000))
		f.end(f.starts[i], order.TaskFailed, time.Millisecond)
	}
	f.Equal(len(f.starts), 20)
}

// Guards against a trial task that lets several tasks onto a worker whose
// cooldown has just ended.
func TestCooldownAllowsOneTrial(t *testing.T) {
	f := newFixture(t, 1).ready()
	f.m.startCooldown(f.now, f.m.hosts[0])
	f.pass(cooldownFirst)
	f.bid(newTask("tags", "a", 100))
	f.bid(newTask("tags", "b", 100))
	f.Equal(len(f.offers()), 1)
}

// Guards against a duplicate bid or confirmation that starts a task twice or
// takes room twice.
func TestDuplicatesAreIdempotent(t *testing.T) {
	f := newFixture(t, 2).ready()
	task := newTask("tags", "a", 1000)
	f.bid(task)
	f.bid(task)
	f.Equal(f.m.held["tags"], 1)
	f.confirm(task)
	f.confirm(task)
	f.bid(task)
	f.Equal(len(f.starts), 1)
	f.Equal(f.m.live["tags"], 1)
	f.end(f.starts[0], order.Done, time.Second)
	f.confirm(task)
	f.bid(task)
	f.Equal(len(f.starts), 1)
	f.Equal(len(f.m.entries), 0)
}

// Guards against room that stays reserved for an offer nobody answers, and
// against a late confirmation that starts a task without room.
func TestOfferExpires(t *testing.T) {
	f := newFixture(t, 1).ready()
	task := newTask("tags", "a", 4000)
	f.bid(task)
	f.pass(offerHold * (maxOffers + 1))
	f.Equal(len(f.m.entries), 0)
	f.Equal(f.m.hosts[0].reserved, amount{})
	f.confirm(task)
	f.Equal(len(f.starts), 0)
	ended, ok := f.ended(task)
	f.True(ok && ended.NotStarted())
}

// Guards against a task that no worker can hold and that waits for ever.
func TestTooLargeIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 2).ready()
	f.bid(newTask("tags", "a", 4001))
	refused, ok := f.posted[len(f.posted)-1].(order.BidRefusedMsg)
	f.True(ok)
	f.Equal(refused.Code(), order.TooLarge)
	f.Equal(f.m.bids.len(), 0)
}

// Guards against starts above a team's allotment, without a record, or above a
// limit that the configuration has lowered since it was divided.
func TestAllotments(t *testing.T) {
	f := newFixture(t, 4)
	f.step(tickEvent{})
	f.step(allotmentsResult{records: map[order.TeamName]allotment{"tags": {count: 5, version: 1, limit: 100}}})
	for i := range 8 {
		f.run(newTask("tags", fmt.Sprint("r", i), 100))
		f.run(newTask("barges", fmt.Sprint("r", i), 100))
	}
	f.Equal(f.m.live["tags"], 5)
	f.Equal(f.m.live["barges"], 0)
	f.config = f.config.WithTeam(sheet.NewTeam("tags", 1, 39))
	f.Equal(f.m.allowed("tags"), 1)
	f.end(f.starts[0], order.Done, time.Second)
	f.Equal(f.m.held["tags"], 0)
}

// Guards against a decrease whose acknowledgement gives away what still runs,
// and against an older message that undoes a newer one.
func TestAllotAckCountsWhatRuns(t *testing.T) {
	f := newFixture(t, 2).ready()
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

// Guards against a lowered limit that stops the oldest work, work that cannot
// be checkpointed, or more than the excess.
func TestLoweredLimitCheckpointsYoungest(t *testing.T) {
	f := newFixture(t, 2).ready()
	for i := range 4 {
		f.run(newTask("tags", fmt.Sprint("r", i), 100).WithCheckpoint(i != 3))
		f.pass(tickPeriod)
	}
	f.config = f.config.WithTeam(sheet.NewTeam("tags", 1, 2))
	f.pass(excessPeriod + stopRetry/2)
	f.Equal(len(f.stops), 2)
	for i, name := range []order.RequestID{"r2", "r1"} {
		f.True(f.stops[i].checkpoint)
		f.Equal(f.stops[i].ref.Task(), order.NewTaskID("tags", name, 0))
	}
}

// Guards against a gang that is offered room for more tasks than fit, or that
// keeps room after its hold.
func TestGangHold(t *testing.T) {
	f := newFixture(t, 2).ready()
	var tasks []order.Task
	for i := range 3 {
		id := order.NewTaskID("tags", "gang", i)
		tasks = append(tasks, newTask("tags", "gang", 3000).WithID(id).WithIndex(i))
	}
	f.send(order.HoldMsg{}.WithRequest("gang").WithTasks(tasks).WithAttempt(1))
	held := f.posted[len(f.posted)-1].(order.HeldMsg)
	f.Equal(len(held.Tasks()), 2)
	f.confirm(tasks[0])
	f.send(order.DeclineMsg{}.WithTask(tasks[1].ID()).WithAttempt(1))
	f.Equal(f.m.live["tags"], 1)
	f.Equal(f.m.held["tags"], 0)
	f.send(order.HoldMsg{}.WithRequest("gang").WithTasks(tasks[1:2]).WithAttempt(1))
	f.Equal(f.m.held["tags"], 1)
	f.pass(gangHold + tickPeriod)
	f.Equal(f.m.held["tags"], 0)
}

// Guards against stops that are lost or that start a task that was cancelled.
func TestStop(t *testing.T) {
	f := newFixture(t, 1).ready()
	held, starting := newTask("tags", "a", 1000), newTask("tags", "b", 1000)
	f.bid(held)
	f.send(order.StopMsg{}.WithTask(held.ID()).WithAttempt(1))
	ended, _ := f.ended(held)
	f.True(ended.NotStarted())
	f.Equal(ended.Outcome().Code(), order.CancelledBeforeRun)
	f.hold = true
	f.run(starting)
	f.send(order.StopMsg{}.WithTask(starting.ID()).WithAttempt(1))
	f.Equal(len(f.stops), 0)
	f.step(startResult{worker: "w0", ref: refOfStart(f.starts[0].start), stamp: f.stamp()})
	f.Equal(len(f.stops), 1)
	f.pass(stopRetry)
	f.Equal(len(f.stops), 2)
}

// Guards against previews that wait behind batch work, and against batch work
// that previews starve.
func TestUrgentFirstWithoutStarvation(t *testing.T) {
	f := newFixture(t, 1).ready()
	f.workers[0] = f.workers[0].WithLeaving(true)
	f.pass(hostPeriod)
	for i := range 20 {
		f.bid(newTask("tags", fmt.Sprintf("batch%02d", i), 100))
		f.bid(newTask("tags", fmt.Sprintf("preview%02d", i), 100).WithKind(order.Preview))
	}
	f.workers[0] = f.workers[0].WithLeaving(false).WithSize(f.workers[0].Size(), 16, 16)
	f.pass(hostPeriod)
	previews := 0
	for _, id := range f.offers()[:16] {
		if f.m.entries[id].task.Kind() == order.Preview {
			previews++
		}
	}
	f.Equal(f.m.entries[f.offers()[0]].task.Kind(), order.Preview)
	f.Equal(previews, 14)
}

// Guards against room that goes to a team above its share while another team
// waits below its own.
func TestTeamBelowItsShareGoesFirst(t *testing.T) {
	f := newFixture(t, 1).ready()
	f.config = f.config.WithTeam(sheet.NewTeam("barges", 3, 100))
	f.workers[0] = f.workers[0].WithLeaving(true)
	f.pass(hostPeriod)
	for i := range 10 {
		f.bid(newTask("tags", fmt.Sprint("a", i), 1000))
		f.bid(newTask("barges", fmt.Sprint("b", i), 1000))
	}
	f.workers[0] = f.workers[0].WithLeaving(false)
	f.pass(hostPeriod)
	f.Equal(f.m.held["barges"], 3)
	f.Equal(f.m.held["tags"], 1)
}

// Guards against plain tasks that fill the workers with accelerators.
func TestAcceleratorsAreKept(t *testing.T) {
	f := newFixture(t, 2)
	f.workers[0] = f.workers[0].WithSize(f.workers[0].Size().WithAccelerators(2).WithMemory(8<<30), 4, 8)
	f.ready()
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

// Guards against declared sizes that are wrong by a factor of ten and fill
// hosts beyond their room or leave them empty.
func TestLearnedUseCorrectsSizes(t *testing.T) {
	f := newFixture(t, 4).ready()
	measure := func(team order.TeamName, cores order.MilliCores, times int) {
		task := newTask(team, "measured", cores)
		for range times {
			factor := useFactors[team]
			used := newAmount(task.Size())
			used.cores, used.memory = int64(float64(used.cores)*factor), int64(float64(used.memory)*factor)
			f.m.observeUse(task, used)
		}
	}
	measure("barges", 100, samplesToRaise)
	measure("tags", 2000, samplesToLower)
	f.Equal(f.m.expected(newTask("barges", "a", 100)).cores, int64(1100))
	f.Equal(f.m.expected(newTask("barges", "a", 3000)).cores, int64(4000))
	f.Equal(f.m.expected(newTask("tags", "a", 2000)).cores, int64(220))
}

// Guards against a usage report that frees reserved room or hides use above
// it.
func TestRoomCountsLargerOfReservedAndSeen(t *testing.T) {
	f := newFixture(t, 1).ready()
	task := newTask("tags", "a", 1000)
	f.run(task)
	report := func(cores order.MilliCores) {
		f.step(usageResult{worker: "w0", uses: []crane.Use{crane.NewUse(crane.NewRef(task.ID(), 1), order.Resources{}.WithCores(cores))}})
	}
	report(10)
	f.Equal(f.m.hosts[0].free().cores, int64(3000))
	report(3500)
	f.Equal(f.m.hosts[0].free().cores, int64(500))
}

// Guards against a successor that starts tasks before it knows what runs, and
// that waits for ever for a worker that is gone.
func TestTakeoverWaitsForWorkersOrTheirLeases(t *testing.T) {
	f := newFixture(t, 2)
	f.dead["w1"] = true
	f.ready()
	f.True(!f.m.adopted())
	f.m.allotments["tags"] = allotment{count: 4, version: 2, limit: 100}
	f.bid(newTask("tags", "a", 100))
	f.Equal(len(f.offers()), 0)
	f.pass(taskLease + leaseMargin)
	f.True(f.m.adopted())
	f.Equal(len(f.offers()), 1)
	f.Equal(f.m.entries["tags/a/0"].host.id(), order.WorkerID("w0"))
}

// Guards against a large task that waits for ever because small tasks take
// all room that appears.
func TestLargeTaskIsNotStarved(t *testing.T) {
	f := newFixture(t, 2).ready()
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
		f.True(f.now.Sub(f.m.began) < time.Minute)
		f.pass(200 * time.Millisecond)
		f.end(f.starts[i], order.Done, time.Second)
		small()
	}
	f.True(f.now.Sub(large.Queued()) < 2*savePatience)
}

// Guards against a start on a worker that became too small after the offer,
// because the host list shows a smaller size or a stray task was adopted.
func TestShrunkWorkerStartsNothingAboveItsRoom(t *testing.T) {
	f := newFixture(t, 1).ready()
	task := newTask("tags", "a", 3000)
	f.bid(task)
	f.workers[0] = f.workers[0].WithSize(order.Resources{}.WithCores(2000).WithMemory(4<<30), 4, 8)
	f.pass(hostPeriod / 2)
	f.m.refreshHosts(f.now)
	f.confirm(task)
	f.Equal(len(f.starts), 0)
	ended, ok := f.ended(task)
	f.True(ok && ended.NotStarted())
}

// Guards against a task that a former owner started after the list was read,
// on a worker without fence support, and that nobody renews or counts.
func TestStrayTaskIsAdopted(t *testing.T) {
	f := newFixture(t, 1).ready()
	stray := newTask("tags", "stray", 1000)
	f.step(usageResult{worker: "w0", uses: []crane.Use{crane.NewUse(crane.NewRef(stray.ID(), 1), stray.Size())}})
	f.True(f.m.hosts[0].listAt.After(f.now))
	f.step(listResult{worker: "w0", listing: crane.NewListing(f.stamp(), []crane.Running{
		crane.NewRunning(stray, 1, stray.Size(), f.now),
	}, nil)})
	f.Equal(f.m.live["tags"], 1)
	f.Equal(f.m.hosts[0].reserved.cores, int64(1000))
}

// Guards against a repeated decrease that is acknowledged without what an
// unread worker may still run for an earlier owner.
func TestRepeatedAllotCountsUnreadWorkers(t *testing.T) {
	f := newFixture(t, 2)
	f.dead["w1"] = true
	msg := order.AllotMsg{}.WithTeam("tags").WithCount(0).WithVersion(2).WithLimit(100)
	f.send(msg)
	f.Equal(len(f.posted), 0)
	f.step(tickEvent{})
	f.step(allotmentsResult{records: map[order.TeamName]allotment{"tags": {count: 3, version: 1, limit: 100}}})
	for range 2 {
		f.send(msg)
		f.Equal(f.posted[len(f.posted)-1].(order.AllotAckMsg).Count(), 3)
	}
	f.pass(taskLease + leaseMargin)
	f.send(msg)
	f.Equal(f.posted[len(f.posted)-1].(order.AllotAckMsg).Count(), 0)
}

// Guards against a start that is repeated on a worker that ran the task and
// then lost it in a crash.
func TestStartIsNotRepeatedAfterACrash(t *testing.T) {
	f := newFixture(t, 1).ready()
	task := newTask("tags", "a", 1000)
	f.hold = true
	f.run(task)
	f.crashes = "+1"
	f.step(listResult{worker: "w0", listing: crane.NewListing(f.stamp(), nil, nil)})
	f.slow = true
	f.step(startResult{worker: "w0", ref: refOfStart(f.starts[0].start), err: crane.ErrUncertain})
	f.pass(stampLife)
	f.Equal(len(f.starts), 1)
	ended, ok := f.ended(task)
	f.True(ok)
	f.Equal(ended.Outcome().Code(), order.OutcomeUnknown)
	f.True(!ended.NotStarted())
}

// Guards against a repeated start whose refusal is taken as proof that the
// first one, whose answer was lost, did not arrive.
func TestRefusedRepeatProvesNothing(t *testing.T) {
	f := newFixture(t, 1).ready()
	task := newTask("tags", "a", 1000)
	f.hold = true
	f.run(task)
	f.step(startResult{worker: "w0", ref: refOfStart(f.starts[0].start), err: crane.ErrUncertain})
	f.pass(startRetry)
	f.Equal(len(f.starts), 2)
	f.step(startResult{worker: "w0", ref: refOfStart(f.starts[1].start), err: crane.NewRefusedError(crane.ReasonNoRoom)})
	_, ok := f.ended(task)
	f.True(!ok)
	f.dead["w0"] = true
	f.pass(taskLease + 2*time.Second)
	ended, _ := f.ended(task)
	f.Equal(ended.Outcome().Code(), order.OutcomeUnknown)
	f.True(!ended.NotStarted())
}

// Guards against an outcome that is acknowledged to the worker, and so lost,
// because an earlier hold of the same attempt had expired.
func TestOutcomeAfterExpiredHold(t *testing.T) {
	f := newFixture(t, 1).ready()
	task := newTask("tags", "gang", 1000)
	hold := order.HoldMsg{}.WithRequest("gang").WithTasks([]order.Task{task}).WithAttempt(1)
	f.send(hold)
	f.pass(gangHold + tickPeriod)
	f.send(hold)
	f.confirm(task)
	f.Equal(len(f.starts), 1)
	f.end(f.starts[0], order.Done, time.Second)
	ended, ok := f.ended(task)
	f.True(ok)
	f.Equal(ended.Outcome().Code(), order.Done)
}

// Guards against an attempt that is moved to another worker while an earlier
// attempt runs, and against an attempt that ran and is reported as not
// started.
func TestRefusalsThatTellOfRuns(t *testing.T) {
	f := newFixture(t, 2).ready()
	f.hold = true
	first, second := newTask("tags", "a", 1000), newTask("tags", "b", 1000)
	f.run(first)
	f.step(startResult{worker: f.starts[0].worker, ref: refOfStart(f.starts[0].start), err: crane.NewRefusedError(crane.ReasonOther)})
	f.run(second)
	f.step(startResult{worker: f.starts[1].worker, ref: refOfStart(f.starts[1].start), err: crane.NewRefusedError(crane.ReasonForgotten)})
	f.Equal(len(f.starts), 2)
	ended, _ := f.ended(first)
	f.True(ended.NotStarted())
	ended, _ = f.ended(second)
	f.Equal(ended.Outcome().Code(), order.OutcomeUnknown)
	f.True(!ended.NotStarted())
}

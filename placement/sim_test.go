package placement

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"chervilhollow/dispatch"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"
)

type (
	// sim simulates a group: real machines with simulated workers and a
	// request partition around them. It checks the guarantees against what
	// runs on the workers, not against what the owners have recorded.
	sim struct {
		t         *rapid.T
		rng       *rand.Rand
		now       time.Time
		startedAt time.Time
		queue     eventQueue
		sequence  int
		registry  *gauge.Registry
		config    *sheet.Config
		loss      float64

		workers      []*simWorker
		byID         map[order.WorkerID]*simWorker
		owner        *simOwner
		formerOwners []*simOwner

		tasks            map[order.TaskID]*simTask
		recorded         map[order.TeamName]allotment
		pendingDecreases map[order.TeamName]allotment
		ran              map[dispatch.AttemptRef]bool
		notStarted       map[dispatch.AttemptRef]bool
		starts           int
		history          map[order.TaskID][]string
	}

	simTask struct {
		task    order.Task
		attempt order.Attempt
		phase   simPhase
		epoch   order.Epoch
		cancel  bool
		gang    bool
		code    order.Code
	}

	simPhase uint8

	scheduledEvent struct {
		at       time.Time
		sequence int
		fn       func()
	}

	eventQueue []scheduledEvent
)

const (
	phaseBidding simPhase = iota
	phaseConfirmed
	phaseRunning
	phaseDone
)

const (
	simGroup      = order.GroupID("east/r1")
	simDomain     = order.DomainName("east")
	guardPeriod   = 1500 * time.Millisecond
	partitionTick = 500 * time.Millisecond
	maxDelay      = 450 * time.Millisecond
	simLimit      = 12
)

var (
	simTeams = []order.TeamName{"barges", "tags"}

	// useFactors is the ratio of actual to declared use per team.
	useFactors = map[order.TeamName]float64{"barges": 10, "tags": 0.1}
)

func newSim(t *rapid.T) *sim {
	s := &sim{
		t:                t,
		rng:              rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now:              time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		registry:         gauge.New(zerolog.Nop()),
		config:           sheet.NewConfig(1),
		byID:             make(map[order.WorkerID]*simWorker),
		tasks:            make(map[order.TaskID]*simTask),
		recorded:         make(map[order.TeamName]allotment),
		pendingDecreases: make(map[order.TeamName]allotment),
		ran:              make(map[dispatch.AttemptRef]bool),
		notStarted:       make(map[dispatch.AttemptRef]bool),
		history:          make(map[order.TaskID][]string),
	}
	s.startedAt = s.now
	s.registry.SetStrict(true)
	for i := range 4 {
		size := order.Resources{}.WithCores(4000).WithMemory(4 << 30)
		if i == 3 {
			size = size.WithAccelerators(2)
		}
		spec := roster.NewWorker(order.WorkerID(fmt.Sprintf("w%d", i)), "", simDomain, "r1").
			WithSize(size, 3, 8).
			WithFenced(i%2 == 0)
		w := newSimWorker(s, spec)
		s.workers = append(s.workers, w)
		s.byID[spec.ID()] = w
	}
	for _, team := range simTeams {
		s.config = s.config.WithTeam(sheet.NewTeam(team, 1, simLimit))
		s.recorded[team] = allotment{count: 4, version: 1, limit: simLimit}
	}
	s.owner = newSimOwner(s, 1)
	s.after(partitionTick, s.tickPartition)
	return s
}

func (s *sim) after(d time.Duration, fn func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{at: s.now.Add(d), sequence: s.sequence, fn: fn})
}

func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(scheduledEvent)
		s.now = next.at
		next.fn()
	}
	s.now = end
}

// delay returns the transit time of a message. Most are fast; one in ten takes
// up to maxDelay, close to how long the kernel may hold a message.
func (s *sim) delay() time.Duration {
	if s.rng.IntN(10) == 0 {
		return time.Duration(s.rng.Int64N(int64(maxDelay)))
	}
	return time.Duration(s.rng.Int64N(int64(5 * time.Millisecond)))
}

func (s *sim) send(fn func()) {
	if s.rng.Float64() < s.loss {
		return
	}
	s.after(s.delay(), fn)
}

func (s *sim) runTime(w *simWorker) time.Duration {
	if w.failing {
		return time.Millisecond
	}
	if s.rng.IntN(4) == 0 {
		return time.Duration(s.rng.Int64N(int64(20 * time.Second)))
	}
	return time.Duration(s.rng.Int64N(int64(time.Second)))
}

func (s *sim) toOwner(msg order.Msg) {
	s.send(func() {
		if m, ok := msg.(interface{ Task() order.TaskID }); ok {
			s.record(m.Task(), "epoch %d receives %T %+v", s.owner.epoch, msg, msg)
		}
		s.owner.deliver(messageEvent{message: msg})
	})
}

// checkStartSent checks G2, G5 and G9 directly after a start was sent.
func (s *sim) checkStartSent(o *simOwner, w *simWorker, ref dispatch.AttemptRef) {
	s.registry.Invariant(o.Remaining() > dispatch.TCPUserTimeout, "G2", "start of %v sent with %s of the guard left", ref, o.Remaining())
	s.registry.Invariant(s.config.DomainOpen(simDomain), "G5", "start of %v sent in a closed domain", ref)
	s.registry.Invariant(!w.spec.Leaving(), "G9", "start of %v sent to a leaving worker", ref)
}

// checkRun checks G1, G2, G4, G7 and G8 when a worker begins to run a task.
func (s *sim) checkRun(w *simWorker, start dispatch.StartRequest) {
	id := start.Task().ID()
	ref := dispatch.NewAttemptRef(id, start.Attempt())
	s.starts++
	var reserved amount
	for _, r := range w.running {
		reserved = reserved.plus(newAmount(r.start.Reserved()))
	}
	s.registry.Invariant(reserved.fitsIn(newAmount(w.spec.Size())) && len(w.running) <= w.spec.Slots(), "G1",
		"worker %s runs %d tasks of %v", w.spec.ID(), len(w.running), reserved)
	team, running := start.Task().Team(), 0
	var others []order.TaskID
	for _, other := range s.workers {
		s.registry.Invariant(other == w || !other.runsTask(id), "G2", "task %s runs on %s and %s", id, other.spec.ID(), w.spec.ID())
		for _, r := range other.running {
			if r.start.Task().Team() == team && r.lease.After(s.now) {
				running++
				others = append(others, r.start.Task().ID())
			}
		}
	}
	s.registry.Invariant(running <= s.recorded[team].count, "G4",
		"start of %s at epoch %d: team %s runs %v of %d", id, start.Epoch(), team, others, s.recorded[team].count)
	s.registry.Invariant(!s.notStarted[ref], "G7", "%v runs after it was reported as not started", ref)
	s.registry.Invariant(!s.ran[ref], "G8", "%v runs twice", ref)
	s.ran[ref] = true
	s.record(id, "runs on %s attempt %d epoch %d", w.spec.ID(), start.Attempt(), start.Epoch())
}

func (s *sim) readAllotments() allotmentsResult {
	if s.rng.Float64() < s.loss {
		return allotmentsResult{err: fmt.Errorf("store unavailable")}
	}
	return allotmentsResult{records: maps.Clone(s.recorded)}
}

// record adds a line to the history of a task, which a failed run prints.
func (s *sim) record(id order.TaskID, format string, args ...any) {
	line := fmt.Sprintf("%12s ", s.now.Sub(s.startedAt)) + fmt.Sprintf(format, args...)
	s.history[id] = append(s.history[id], line)
}

// logHistory prints the history of the tasks that a failed invariant names. It
// must be deferred.
func (s *sim) logHistory() {
	failure := recover()
	if failure == nil {
		return
	}
	text := fmt.Sprint(failure)
	for _, id := range slices.Sorted(maps.Keys(s.history)) {
		if strings.Contains(text, string(id)) {
			s.t.Log(strings.Join(s.history[id], "\n"))
		}
	}
	panic(failure)
}

// Len implements heap.Interface.
func (a eventQueue) Len() int { return len(a) }

// Less implements heap.Interface.
func (a eventQueue) Less(i, j int) bool {
	if c := a[i].at.Compare(a[j].at); c != 0 {
		return c < 0
	}
	return a[i].sequence < a[j].sequence
}

// Swap implements heap.Interface.
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

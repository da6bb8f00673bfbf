package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/order"
	"chervilhollow/storage"
)

type (
	// world is one run of the explorer: schedulers that own a cell one after the
	// other or beside each other, between models of what is around them. All that
	// happens is an event at a virtual time, drawn from the seed.
	world struct {
		rand     *rand.Rand
		now      time.Time
		events   eventHeap
		sequence int
		timeline strings.Builder
		traced   bool

		workers   []*modelWorker
		owners    []*modelOwner
		store     modelStore
		network   modelNetwork
		clients   modelClients
		discovery modelDiscovery
		isolation modelIsolation
		operator  modelOperator
		advice    modelAdvice
		gangs     modelGangs
		checks    checks
		calm      bool
		pageSize  int
		guarded   bool

		// extended worlds also have gangs, advice, teams, lasting jobs, drains,
		// unhealthy workers and an operator.
		extended bool

		// isolated worlds are extended. In them live workers may also refuse
		// connections or lack an entry, and hosts return.
		isolated bool
	}

	event struct {
		at       time.Time
		sequence int
		do       func()
	}

	eventHeap []event
)

const (
	exploreFaults  = 40 * time.Second
	exploreSubmits = 34 * time.Second

	// exploreEnd is when all accepted work has ended: two of the longest leases
	// after the last fault, and all runs of the longest chain of tasks.
	exploreEnd = exploreFaults + 21*time.Second + 2*exploreAttempts*exploreLongest

	exploreAttempts = 5
	exploreLongest  = 5 * time.Second
	exploreZones    = 3
	exploreWorkers  = 6

	// exploreExtended is the first seed of an extended world. The worlds of the
	// seeds before it stay as they were when these failed.
	exploreExtended = 1_000_000

	// exploreIsolated is the first seed of an isolated world.
	exploreIsolated = 3_000_000
)

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)   { *h = append(*h, e.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// explore plays one seed.
func explore(seed uint64, traced bool) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 28)), now: testStart, traced: traced}
	w.extended, w.isolated = seed >= exploreExtended, seed >= exploreIsolated
	w.checks = newChecks(w)
	w.store = modelStore{world: w, entries: make(map[string]storage.Entry), version: 10, up: true}
	w.network = newNetwork(w)
	w.clients = newClients(w)
	w.discovery = modelDiscovery{world: w, entries: make(map[order.WorkerID]WorkerInfo)}
	w.isolation = newIsolation(w)
	if w.isolated {
		w.discovery.states, w.discovery.heartbeats = make(map[order.WorkerID]modelEntryState), w.chance(50)
	}
	w.operator = newOperator(w)
	w.advice = modelAdvice{world: w, tickets: make(map[string]modelTicket)}
	w.gangs = modelGangs{world: w, runs: make(map[gangRun][]*modelRun)}
	w.pageSize, w.guarded = []int{500, 5, 2}[w.rand.IntN(3)], w.rand.IntN(2) == 0
	for i := range exploreWorkers {
		w.workers = append(w.workers, newModelWorker(w, i))
	}
	w.claim(0)
	w.network.run()
	w.clients.run()
	w.operator.run()
	w.replaceWorkers()
	w.isolation.run()
	w.superviseOwners()
	w.play()
	w.checks.finish()
	return w
}

// play handles the events until all jobs have ended after the faults, or the
// time by which they must have.
func (w *world) play() {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at.Sub(testStart) > exploreEnd || (w.calm && w.clients.settled()) {
			return
		}
		w.now = e.at
		e.do()
	}
}

func (w *world) after(delay time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now.Add(delay), sequence: w.sequence, do: do})
}

func (w *world) upTo(limit time.Duration) time.Duration {
	return time.Duration(w.rand.Int64N(int64(limit)))
}

func (w *world) chance(percent int) bool { return w.rand.IntN(100) < percent }

// log returns the log of an owner. With EXPLORE_LOG its lines go to the timeline,
// whose order may then differ between two runs of a seed.
func (w *world) log() zerolog.Logger {
	if !w.traced || os.Getenv("EXPLORE_LOG") == "" {
		return zerolog.Nop()
	}
	return zerolog.New(&w.timeline)
}

// trace adds a line to the timeline.
func (w *world) trace(format string, args ...any) {
	if w.traced {
		fmt.Fprintf(&w.timeline, "%9.3f "+format+"\n", append([]any{w.now.Sub(testStart).Seconds()}, args...)...)
	}
}

// worker returns the worker with the ID, or nil.
func (w *world) worker(id order.WorkerID) *modelWorker {
	for _, m := range w.workers {
		if m.id == id {
			return m
		}
	}
	return nil
}

func taskName(t TaskRef) string {
	return fmt.Sprintf("%s.%d.%d.%d", strings.TrimLeft(string(t.job), "0"), t.occurrence, t.step, t.index)
}

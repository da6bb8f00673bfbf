package simulator

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"chervilhollow/order"
)

type (
	// audit records the starts and ends of tasks on all workers. Tests use it
	// to detect repeated and concurrent runs of a task and overloaded workers.
	audit struct {
		mu           sync.Mutex
		starts       int
		runs         map[order.TaskID]int
		running      map[order.TaskID][]*taskRun
		concurrent   []order.TaskID
		overCapacity []order.TaskID
		overUsage    int
		teams        map[order.TeamName]*teamCounts
		workers      map[order.WorkerID]int
	}

	// WorkerAudit is the body of GET /audit: what the workers have run since
	// the stand-in was started.
	WorkerAudit struct {
		Starts  int `json:"starts"`
		Tasks   int `json:"tasks"`
		Running int `json:"running"`

		// Repeated maps the tasks that ran more than once to their run counts.
		// Concurrent lists the tasks that ran in two places at once,
		// OverCapacity those that were started although their worker had too
		// little capacity for their declared size. OverUsage counts starts that put a
		// worker's used resources above its capacity.
		Repeated     map[order.TaskID]int `json:"repeated"`
		Concurrent   []order.TaskID       `json:"concurrent"`
		OverCapacity []order.TaskID       `json:"above_room"`
		OverUsage    int                  `json:"above_use"`

		// Runs counts the runs of each task, Workers the starts on each worker
		// and Teams the running tasks of each team. They are nil unless the
		// request has ?all=1.
		Runs    map[order.TaskID]int   `json:"runs,omitempty"`
		Workers map[order.WorkerID]int `json:"workers,omitempty"`
		Teams   map[order.TeamName]int `json:"teams,omitempty"`
	}
)

func newAudit() *audit {
	return &audit{
		runs:    make(map[order.TaskID]int),
		running: make(map[order.TaskID][]*taskRun),
		teams:   make(map[order.TeamName]*teamCounts),
		workers: make(map[order.WorkerID]int),
	}
}

// Audit returns the full report, with the counts per task, worker and team.
func (s *Workers) Audit() WorkerAudit { return s.audit.report(true) }

// recordStart records the start of a task and checks it against the tasks that
// run. The caller holds the worker's lock.
func (a *audit) recordStart(w *worker, r *taskRun, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := r.start.Task
	a.starts++
	a.runs[id]++
	a.teamCountsOf(id).started++
	a.workers[w.spec.ID]++
	for _, other := range a.running[id] {
		// A paused worker ends its expired tasks only when it resumes, but the
		// platform has ended them by then.
		if other.leaseEnd().After(now) {
			a.concurrent = append(a.concurrent, id)
		}
	}
	a.running[id] = append(a.running[id], r)
	if w.exceedsCapacity(func(r *taskRun) workerSize { return r.start.Size }) {
		a.overCapacity = append(a.overCapacity, id)
	}
	if w.exceedsCapacity((*taskRun).usage) {
		a.overUsage++
	}
}

func (a *audit) recordEnd(_ *worker, r *taskRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := r.start.Task
	for i, other := range a.running[id] {
		if other == r {
			a.running[id] = append(a.running[id][:i:i], a.running[id][i+1:]...)
			break
		}
	}
	if len(a.running[id]) == 0 {
		delete(a.running, id)
	}
}

func (a *audit) report(detailed bool) WorkerAudit {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := WorkerAudit{
		Starts:       a.starts,
		Tasks:        len(a.runs),
		Running:      len(a.running),
		Repeated:     make(map[order.TaskID]int),
		Concurrent:   append([]order.TaskID{}, a.concurrent...),
		OverCapacity: append([]order.TaskID{}, a.overCapacity...),
		OverUsage:    a.overUsage,
	}
	if detailed {
		report.Workers = maps.Clone(a.workers)
		report.Teams = a.runningTeams()
		report.Runs = make(map[order.TaskID]int, len(a.runs))
	}
	for id, n := range a.runs {
		if n > 1 {
			report.Repeated[id] = n
		}
		if detailed {
			report.Runs[id] = n
		}
	}
	return report
}

func (a *audit) runningTeams() map[order.TeamName]int {
	teams := make(map[order.TeamName]int)
	for id, runs := range a.running {
		teams[id.Team()] += len(runs)
	}
	return teams
}

// exceedsCapacity reports whether the running tasks, each of the given size,
// exceed the resources, slots or connections of the worker.
func (w *worker) exceedsCapacity(size func(*taskRun) workerSize) bool {
	var sum workerSize
	for _, r := range w.running {
		s := size(r)
		sum.Cores += s.Cores
		sum.Memory += s.Memory
		sum.Accelerators += s.Accelerators
	}
	return sum.Cores > w.spec.MilliCores ||
		sum.Memory > order.Bytes(w.spec.MemoryMB<<20) ||
		sum.Accelerators > w.spec.Accelerators ||
		len(w.running) > min(w.spec.Slots, w.spec.Connections)
}

func readBody(rw http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(rw, r.Body, maxWorkerBodyBytes))
}

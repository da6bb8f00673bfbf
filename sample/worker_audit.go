package sample

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"chervilhollow/order"
)

type (
	// audit records, over all workers, how often each task ran and whether
	// it ever ran in two places or above the room of its worker.
	audit struct {
		mu         sync.Mutex
		starts     int
		runs       map[order.TaskID]int
		live       map[order.TaskID][]*run
		concurrent []order.TaskID
		aboveRoom  []order.TaskID
		aboveUse   int
		teams      map[order.TeamName]*teamCounts
		workers    map[order.WorkerID]int
	}

	// WorkerAudit is the report of the stand-in about all runs.
	WorkerAudit struct {
		Starts     int                  `json:"starts"`
		Tasks      int                  `json:"tasks"`
		Running    int                  `json:"running"`
		Repeated   map[order.TaskID]int `json:"repeated"`
		Concurrent []order.TaskID       `json:"concurrent"`
		AboveRoom  []order.TaskID       `json:"above_room"`
		AboveUse   int                  `json:"above_use"`
		Runs       map[order.TaskID]int `json:"runs,omitempty"`

		// Workers counts the starts of each worker, Teams the tasks of each
		// team that run now.
		Workers map[order.WorkerID]int `json:"workers,omitempty"`
		Teams   map[order.TeamName]int `json:"teams,omitempty"`
	}
)

func newAudit() *audit {
	return &audit{
		runs:    make(map[order.TaskID]int),
		live:    make(map[order.TaskID][]*run),
		teams:   make(map[order.TeamName]*teamCounts),
		workers: make(map[order.WorkerID]int),
	}
}

// Audit returns the report with the number of runs of each task.
func (s *Workers) Audit() WorkerAudit { return s.audit.report(true) }

// The caller holds the lock of the worker.
func (a *audit) started(w *worker, r *run, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := r.start.Task
	a.starts++
	a.runs[id]++
	a.team(id).started++
	a.workers[w.spec.ID]++
	for _, other := range a.live[id] {
		// A paused worker ends lapsed tasks when it wakes; the platform has
		// ended them by then.
		if other.leaseEnd().After(now) {
			a.concurrent = append(a.concurrent, id)
		}
	}
	a.live[id] = append(a.live[id], r)
	if w.aboveRoom(func(r *run) workerSize { return r.start.Size }) {
		a.aboveRoom = append(a.aboveRoom, id)
	}
	if w.aboveRoom((*run).use) {
		a.aboveUse++
	}
}

func (a *audit) ended(_ *worker, r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := r.start.Task
	for i, other := range a.live[id] {
		if other == r {
			a.live[id] = append(a.live[id][:i:i], a.live[id][i+1:]...)
			break
		}
	}
	if len(a.live[id]) == 0 {
		delete(a.live, id)
	}
}

func (a *audit) report(all bool) WorkerAudit {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := WorkerAudit{
		Starts:     a.starts,
		Tasks:      len(a.runs),
		Running:    len(a.live),
		Repeated:   make(map[order.TaskID]int),
		Concurrent: append([]order.TaskID{}, a.concurrent...),
		AboveRoom:  append([]order.TaskID{}, a.aboveRoom...),
		AboveUse:   a.aboveUse,
	}
	if all {
		report.Workers = maps.Clone(a.workers)
		report.Teams = a.runningTeams()
		report.Runs = make(map[order.TaskID]int, len(a.runs))
	}
	for id, n := range a.runs {
		if n > 1 {
			report.Repeated[id] = n
		}
		if all {
			report.Runs[id] = n
		}
	}
	return report
}

func (a *audit) runningTeams() map[order.TeamName]int {
	teams := make(map[order.TeamName]int)
	for id, runs := range a.live {
		teams[id.Team()] += len(runs)
	}
	return teams
}

func (w *worker) aboveRoom(size func(*run) workerSize) bool {
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
	return io.ReadAll(http.MaxBytesReader(rw, r.Body, maxWorkerBody))
}

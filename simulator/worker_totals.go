package simulator

import (
	"net/http"
	"strings"

	"chervilhollow/order"
)

type (
	// WorkerTotals is the body of GET /totals: the capacity of all workers, the
	// running tasks of each failure domain, and the tasks of each team.
	WorkerTotals struct {
		Slots        int                           `json:"slots"`
		MilliCores   order.MilliCores              `json:"milli_cores"`
		MemoryMB     int64                         `json:"memory_mb"`
		Accelerators int                           `json:"accelerators"`
		Teams        map[order.TeamName]TeamTotals `json:"teams"`
		Domains      map[order.DomainName]int      `json:"domains"`
	}

	// TeamTotals sums up the tasks of one team. The sizes are the declared ones
	// of the running tasks; the Used fields are what their payloads make them
	// use. Started, Done, Failed and Other count tasks since the stand-in was
	// started.
	TeamTotals struct {
		Running        int              `json:"running"`
		MilliCores     order.MilliCores `json:"milli_cores"`
		MemoryMB       int64            `json:"memory_mb"`
		Accelerators   int              `json:"accelerators"`
		UsedMilliCores order.MilliCores `json:"used_milli_cores"`
		UsedMemoryMB   int64            `json:"used_memory_mb"`
		Started        int              `json:"started"`
		Done           int              `json:"done"`
		Failed         int              `json:"failed"`
		Other          int              `json:"other"`
	}

	// teamCounts counts the starts of a team's tasks and their outcomes by
	// status.
	teamCounts struct{ started, done, failed, other int }
)

// Totals returns the capacity of all workers and the tasks on them.
func (s *Workers) Totals() WorkerTotals {
	totals := WorkerTotals{
		Teams:   make(map[order.TeamName]TeamTotals),
		Domains: make(map[order.DomainName]int),
	}
	for _, w := range s.workers {
		w.addTo(&totals)
	}
	for team, c := range s.audit.copyTeamCounts() {
		t := totals.Teams[team]
		t.Started, t.Done, t.Failed, t.Other = c.started, c.done, c.failed, c.other
		totals.Teams[team] = t
	}
	return totals
}

func (s *Workers) serveTotals(rw http.ResponseWriter, _ *http.Request) { respond(rw, s.Totals()) }

func (w *worker) addTo(totals *WorkerTotals) {
	w.mu.Lock()
	defer w.mu.Unlock()
	totals.Slots += min(w.spec.Slots, w.spec.Connections)
	totals.MilliCores += w.spec.MilliCores
	totals.MemoryMB += w.spec.MemoryMB
	totals.Accelerators += w.spec.Accelerators
	totals.Domains[w.spec.Domain] += len(w.running)
	for id, r := range w.running {
		t := totals.Teams[teamOfTask(id)]
		use := r.usage()
		t.Running++
		t.MilliCores += r.start.Size.Cores
		t.MemoryMB += int64(r.start.Size.Memory >> 20)
		t.Accelerators += r.start.Size.Accelerators
		t.UsedMilliCores += use.Cores
		t.UsedMemoryMB += int64(use.Memory >> 20)
		totals.Teams[teamOfTask(id)] = t
	}
}

func teamOfTask(id order.TaskID) order.TeamName {
	team, _, _ := strings.Cut(string(id), "/")
	return order.TeamName(team)
}

func (a *audit) copyTeamCounts() map[order.TeamName]teamCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := make(map[order.TeamName]teamCounts, len(a.teams))
	for team, c := range a.teams {
		counts[team] = *c
	}
	return counts
}

// teamCountsOf returns the counts of the task's team, which it creates if
// needed. The caller holds the lock.
func (a *audit) teamCountsOf(id order.TaskID) *teamCounts {
	team := teamOfTask(id)
	if a.teams[team] == nil {
		a.teams[team] = &teamCounts{}
	}
	return a.teams[team]
}

// countOutcome counts the end of a task under its status.
func (a *audit) countOutcome(id order.TaskID, status string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.teamCountsOf(id)
	switch status {
	case statusDone:
		c.done++
	case statusFailed:
		c.failed++
	default:
		c.other++
	}
}

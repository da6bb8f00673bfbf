package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"chervilhollow/simulator"
	"chervilhollow/timers"
)

type (
	// sampler reads the state of the deployment once per period.
	sampler struct {
		options *options
		clock   timers.Clock
		client  *http.Client
	}

	// reading is one sample of the whole deployment: the totals of all workers,
	// the store's calls by kind since its start, and the usage by role. A task
	// uses what it declares, not what it really takes.
	reading struct {
		at         time.Time
		totals     simulator.WorkerTotals
		storeCalls map[string]int64
		usage      map[string]roleUsage
	}

	// roleUsage is the usage of the processes of one role: their number, the
	// sums of their processor time, resident memory and bytes read and written,
	// and the resident memory of the largest.
	roleUsage struct {
		processes   int
		cpu         time.Duration
		resident    int64
		maxResident int64
		ioBytes     int64
	}
)

const (
	// clockTick is the unit of processor time in /proc (USER_HZ is 100 on
	// Linux).
	clockTick   = 10 * time.Millisecond
	callTimeout = 2 * time.Second // of one HTTP call to a stand-in

	// Indexes of utime and stime in /proc/PID/stat, counted after the name.
	userTimeField   = 11
	systemTimeField = 12
)

func newSampler(o *options, clock timers.Clock) *sampler {
	return &sampler{options: o, clock: clock, client: &http.Client{Timeout: callTimeout}}
}

// run samples until ctx ends. A sample that cannot be read completely is left
// out.
func (s *sampler) run(ctx context.Context) []reading {
	ticks := s.clock.Subscribe(s.options.period)
	defer ticks.Close()
	var readings []reading
	for {
		select {
		case <-ctx.Done():
			return readings
		case <-ticks.C():
		}
		r, err := s.read()
		if err != nil {
			fmt.Fprintln(os.Stderr, "measure: skipped a sample:", err)
			continue
		}
		readings = append(readings, r)
	}
}

func (s *sampler) read() (reading, error) {
	r := reading{at: s.clock.Now(), usage: make(map[string]roleUsage)}
	if err := s.get(s.options.workersURL+"/totals", &r.totals); err != nil {
		return r, err
	}
	if err := s.get(s.options.storeURL+"/calls", &r.storeCalls); err != nil {
		return r, err
	}
	for _, p := range s.options.processes {
		cpu, resident, err := processUsage(p.pid)
		if err != nil {
			return r, err
		}
		usage := r.usage[p.role]
		usage.processes++
		usage.cpu += cpu
		usage.resident += resident
		usage.maxResident = max(usage.maxResident, resident)
		usage.ioBytes += processIOBytes(p.pid)
		r.usage[p.role] = usage
	}
	return r, nil
}

func (s *sampler) get(url string, document any) error {
	response, err := s.client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(document)
}

// processUsage returns the processor time and the resident memory, in bytes, of
// a process.
func processUsage(pid int) (time.Duration, int64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The name in parentheses may contain spaces; the fields follow it.
	text := string(stat)
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	if len(fields) <= systemTimeField {
		return 0, 0, fmt.Errorf("process %d: stat has %d fields", pid, len(fields))
	}
	user, userErr := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemTimeField], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0, 0, fmt.Errorf("process %d: cannot parse the times in stat", pid)
	}
	resident, err := residentBytes(pid)
	return time.Duration(user+system) * clockTick, resident, err
}

func residentBytes(pid int) (int64, error) {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0, fmt.Errorf("process %d: cannot parse statm", pid)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// processIOBytes returns the bytes that a process has read and written, most of
// them on its connections. It returns zero if /proc/PID/io cannot be read.
func processIOBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0
	}
	total := int64(0)
	for _, line := range strings.Split(string(data), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0
		}
		total += n
	}
	return total
}

// slotUse returns the fraction of all slots that are used.
func (r reading) slotUse() float64 {
	running := 0
	for _, t := range r.totals.Teams {
		running += t.Running
	}
	return frac(float64(running), float64(r.totals.Slots))
}

// dominantUse returns the used fraction of the cell's resource that is used
// most.
func (r reading) dominantUse() float64 {
	var cores, memory, accelerators float64
	for _, t := range r.totals.Teams {
		cores += float64(t.MilliCores)
		memory += float64(t.MemoryMB)
		accelerators += float64(t.Accelerators)
	}
	return max(frac(cores, float64(r.totals.MilliCores)),
		frac(memory, float64(r.totals.MemoryMB)),
		frac(accelerators, float64(r.totals.Accelerators)))
}

// teamDominantUse returns the team's dominant share: the largest fraction of
// any resource of the cell that its tasks use.
func (r reading) teamDominantUse(t simulator.TeamTotals) float64 {
	return max(frac(float64(t.MilliCores), float64(r.totals.MilliCores)),
		frac(float64(t.MemoryMB), float64(r.totals.MemoryMB)),
		frac(float64(t.Accelerators), float64(r.totals.Accelerators)))
}

func (r reading) startedTasks() int {
	n := 0
	for _, t := range r.totals.Teams {
		n += t.Started
	}
	return n
}

func (r reading) doneTasks() int {
	n := 0
	for _, t := range r.totals.Teams {
		n += t.Done
	}
	return n
}

// frac returns a/b, or zero if b is zero.
func frac(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

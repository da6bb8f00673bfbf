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

	"chervilhollow/sample"
	"chervilhollow/tide"
)

type (
	sampler struct {
		options *options
		clock   tide.Clock
		client  *http.Client
	}

	// reading is one sample of the whole deployment.
	reading struct {
		at     time.Time
		totals sample.WorkerTotals
		store  map[string]int64
		costs  map[string]cost
	}

	// cost is the sum over the processes of one role.
	cost struct {
		processes int
		cpu       time.Duration
		bytes     int64
		largest   int64
		traffic   int64
	}
)

const (
	// tickLength is the unit of processor time in /proc on Linux.
	tickLength  = 10 * time.Millisecond
	callTimeout = 2 * time.Second
	userField   = 11
	systemField = 12
)

func newSampler(o *options, clock tide.Clock) *sampler {
	return &sampler{options: o, clock: clock, client: &http.Client{Timeout: callTimeout}}
}

// run samples until the context ends.
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
			fmt.Fprintln(os.Stderr, "measure: sample left out:", err)
			continue
		}
		readings = append(readings, r)
	}
}

func (s *sampler) read() (reading, error) {
	r := reading{at: s.clock.Now(), costs: make(map[string]cost)}
	if err := s.get(s.options.workers+"/totals", &r.totals); err != nil {
		return r, err
	}
	if err := s.get(s.options.store+"/calls", &r.store); err != nil {
		return r, err
	}
	for _, p := range s.options.processes {
		cpu, bytes, err := usageOf(p.pid)
		if err != nil {
			return r, err
		}
		c := r.costs[p.role]
		c.processes++
		c.cpu += cpu
		c.bytes += bytes
		c.largest = max(c.largest, bytes)
		c.traffic += trafficOf(p.pid)
		r.costs[p.role] = c
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

// usageOf returns the processor time and resident memory of a process.
func usageOf(pid int) (time.Duration, int64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The name in parentheses may hold spaces; the fields follow it.
	text := string(stat)
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	if len(fields) <= systemField {
		return 0, 0, fmt.Errorf("process %d: stat has %d fields", pid, len(fields))
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0, 0, fmt.Errorf("process %d: stat not readable", pid)
	}
	bytes, err := residentBytes(pid)
	return time.Duration(user+system) * tickLength, bytes, err
}

func residentBytes(pid int) (int64, error) {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0, fmt.Errorf("process %d: statm not readable", pid)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// trafficOf returns the bytes that a process has read and written, most of
// them over its connections; zero if they cannot be read.
func trafficOf(pid int) int64 {
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

// slots returns the used part of the slots.
func (r reading) slots() float64 {
	running := 0
	for _, t := range r.totals.Teams {
		running += t.Running
	}
	return part(float64(running), float64(r.totals.Slots))
}

// dominant returns the used part of the resource that is used most.
func (r reading) dominant() float64 {
	var cores, memory, accelerators float64
	for _, t := range r.totals.Teams {
		cores += float64(t.MilliCores)
		memory += float64(t.MemoryMB)
		accelerators += float64(t.Accelerators)
	}
	return max(part(cores, float64(r.totals.MilliCores)),
		part(memory, float64(r.totals.MemoryMB)),
		part(accelerators, float64(r.totals.Accelerators)))
}

// teamDominant returns the part of the cell's dominant resource of a team.
func (r reading) teamDominant(t sample.TeamTotals) float64 {
	return max(part(float64(t.MilliCores), float64(r.totals.MilliCores)),
		part(float64(t.MemoryMB), float64(r.totals.MemoryMB)),
		part(float64(t.Accelerators), float64(r.totals.Accelerators)))
}

func (r reading) started() int {
	n := 0
	for _, t := range r.totals.Teams {
		n += t.Started
	}
	return n
}

func (r reading) done() int {
	n := 0
	for _, t := range r.totals.Teams {
		n += t.Done
	}
	return n
}

func part(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

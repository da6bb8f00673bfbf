package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"
)

type (
	mark struct {
		at   time.Time
		name string
	}

	// phase is a part of the run with its samples.
	phase struct {
		name     string
		readings []reading
	}
)

// unreported names the time between two phases.
const unreported = "-"

func readMarks(file string) ([]mark, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var marks []mark
	for i, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		at, name, _ := strings.Cut(line, " ")
		nanos, err := strconv.ParseInt(at, 10, 64)
		if err != nil || name == "" {
			return nil, fmt.Errorf("%s:%d: want NANOSECONDS NAME, got %q", file, i+1, line)
		}
		marks = append(marks, mark{at: time.Unix(0, nanos), name: name})
	}
	return marks, nil
}

// split returns the phases that have at least two samples.
func split(readings []reading, marks []mark) []phase {
	var phases []phase
	for i, m := range marks {
		if m.name == unreported {
			continue
		}
		p := phase{name: m.name}
		for _, r := range readings {
			if r.at.Before(m.at) || i+1 < len(marks) && !r.at.Before(marks[i+1].at) {
				continue
			}
			p.readings = append(p.readings, r)
		}
		if len(p.readings) > 1 {
			phases = append(phases, p)
		}
	}
	return phases
}

func (p phase) first() reading { return p.readings[0] }
func (p phase) last() reading  { return p.readings[len(p.readings)-1] }

func (p phase) seconds() float64 { return p.last().at.Sub(p.first().at).Seconds() }

// mean returns the mean over the samples.
func (p phase) mean(value func(reading) float64) float64 {
	sum := 0.0
	for _, r := range p.readings {
		sum += value(r)
	}
	return sum / float64(len(p.readings))
}

// quantile returns the value that the given part of the samples stays below.
func (p phase) quantile(q float64, value func(reading) float64) float64 {
	values := make([]float64, 0, len(p.readings))
	for _, r := range p.readings {
		values = append(values, value(r))
	}
	sort.Float64s(values)
	return values[int(q*float64(len(values)-1))]
}

// startedRate returns the started tasks per second.
func (p phase) startedRate() float64 {
	return float64(p.last().started()-p.first().started()) / p.seconds()
}

// doneRate returns the completed tasks per second.
func (p phase) doneRate() float64 {
	return float64(p.last().done()-p.first().done()) / p.seconds()
}

// cpu returns the processor time per second of a role.
func (p phase) cpu(role string) float64 {
	used := p.last().costs[role].cpu - p.first().costs[role].cpu
	return used.Seconds() / p.seconds()
}

// bytes returns the largest memory of one process of a role.
func (p phase) bytes(role string) int64 {
	most := int64(0)
	for _, r := range p.readings {
		most = max(most, r.costs[role].largest)
	}
	return most
}

// traffic returns the bytes per second that the processes of a role read and
// wrote.
func (p phase) traffic(role string) float64 {
	return float64(p.last().costs[role].traffic-p.first().costs[role].traffic) / p.seconds()
}

// resident returns the mean memory of all processes of a role together.
func (p phase) resident(role string) float64 {
	return p.mean(func(r reading) float64 { return float64(r.costs[role].bytes) })
}

// calls returns the store's calls per second by kind.
func (p phase) calls() map[string]float64 {
	rates := make(map[string]float64)
	for kind, n := range p.last().store {
		rates[kind] = float64(n-p.first().store[kind]) / p.seconds()
	}
	return rates
}

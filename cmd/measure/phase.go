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
	// mark is the start of a phase.
	mark struct {
		at   time.Time
		name string
	}

	// phase is a part of the run with at least two samples, from which rates
	// can be computed.
	phase struct {
		name     string
		readings []reading
	}
)

// unreportedPhase is the name of the time between two phases, which is not
// reported.
const unreportedPhase = "-"

// readMarks reads the marks file, which has one line per phase.
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

// splitPhases assigns the samples to phases. Each phase ends where the next
// mark is. Phases with fewer than two samples are left out.
func splitPhases(readings []reading, marks []mark) []phase {
	var phases []phase
	for i, m := range marks {
		if m.name == unreportedPhase {
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

// mean returns the mean of the value over the samples.
func (p phase) mean(value func(reading) float64) float64 {
	sum := 0.0
	for _, r := range p.readings {
		sum += value(r)
	}
	return sum / float64(len(p.readings))
}

// quantile returns the q-quantile of the value over the samples.
func (p phase) quantile(q float64, value func(reading) float64) float64 {
	values := make([]float64, 0, len(p.readings))
	for _, r := range p.readings {
		values = append(values, value(r))
	}
	sort.Float64s(values)
	return values[int(q*float64(len(values)-1))]
}

// startedRate returns how many tasks started per second.
func (p phase) startedRate() float64 {
	return float64(p.last().startedTasks()-p.first().startedTasks()) / p.seconds()
}

// doneRate returns how many tasks completed per second.
func (p phase) doneRate() float64 {
	return float64(p.last().doneTasks()-p.first().doneTasks()) / p.seconds()
}

// cores returns the processor time per second of all processes of a role.
func (p phase) cores(role string) float64 {
	cpu := p.last().usage[role].cpu - p.first().usage[role].cpu
	return cpu.Seconds() / p.seconds()
}

// maxResident returns the largest resident memory, in bytes, that one process
// of a role had in a sample.
func (p phase) maxResident(role string) int64 {
	most := int64(0)
	for _, r := range p.readings {
		most = max(most, r.usage[role].maxResident)
	}
	return most
}

// ioRate returns the bytes per second that all processes of a role read and
// wrote.
func (p phase) ioRate(role string) float64 {
	return float64(p.last().usage[role].ioBytes-p.first().usage[role].ioBytes) / p.seconds()
}

// meanResident returns the mean resident memory, in bytes, of all processes of
// a role together.
func (p phase) meanResident(role string) float64 {
	return p.mean(func(r reading) float64 { return float64(r.usage[role].resident) })
}

// callRates returns the calls of the store per second, by kind of call.
func (p phase) callRates() map[string]float64 {
	rates := make(map[string]float64)
	for kind, n := range p.last().storeCalls {
		rates[kind] = float64(n-p.first().storeCalls[kind]) / p.seconds()
	}
	return rates
}

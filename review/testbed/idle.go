package main

import (
	"fmt"
	"time"
)

// Figures of the rule LOST: a job may have nothing running for idleBound while
// a task's turn has come, and a lasting task for lastingBound more after its
// last run.
const (
	idleBound    = 3 * time.Second
	lastingBound = 6 * time.Second
	finishTime   = 14 * time.Second
	idleTick     = 100 * time.Millisecond
)

// watchIdle checks for the given time whether accepted jobs have nothing
// running although there is capacity for them twice over and less than half of
// the capacity is in use.
func (s *System) watchIdle(length time.Duration) {
	f := s.fleet
	since := make(map[string]time.Time)
	reported := make(map[string]bool)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(idleTick) {
		f.mu.Lock()
		for _, j := range f.jobs {
			for name, idle := range f.idle(j) {
				switch {
				case !idle:
					delete(since, name)
				case since[name].IsZero():
					since[name] = time.Now()
				case time.Since(since[name]) >= idleBound && !reported[name]:
					reported[name] = true
					f.breakRule("LOST", "%s was accepted %.1f s ago and has had nothing running for %s, with %d of %d cpu in use",
						name, time.Since(j.accepted).Seconds(), idleBound, f.used(), f.capacity())
				}
			}
		}
		f.mu.Unlock()
	}
}

// idle reports whether the job, or each of its lasting tasks, has nothing
// running though its turn has come and there is capacity. The lock must be held.
func (f *Fleet) idle(j *Job) map[string]bool {
	running, waiting := 0, 0
	list := make(map[string]bool)
	for i, st := range j.steps {
		turn := !j.accepted.IsZero() && j.cancelled.IsZero() && 2*f.used() < f.capacity()
		for _, before := range st.after {
			turn = turn && f.stepDone(j, before)
		}
		for t := range st.count {
			name := fmt.Sprintf("%s.0.%d.%d", j.id, i, t)
			live, done, failed, last := f.runsOf(name)
			if st.lasting {
				list["task "+name] = turn && !live && f.room(st, 2) && time.Since(last) > lastingBound
				continue
			}
			if live {
				running++
			}
			if turn && !live && !done && failed < maxAttempts && f.room(st, 2*st.count) {
				waiting++
			}
		}
	}
	list["job "+j.id] = waiting > 0 && running == 0
	return list
}

// runsOf returns whether the task runs and is done, how many of its runs have
// failed, and when the last one ended.
func (f *Fleet) runsOf(name string) (live, done bool, failed int, last time.Time) {
	for _, r := range f.tasks[name] {
		live = live || r.how == ""
		done = done || r.how == "done"
		if r.how == "failed" {
			failed++
		}
		if r.endedAt.After(last) {
			last = r.endedAt
		}
	}
	return live, done, failed, last
}

// room reports whether the workers have capacity for so many tasks of the step.
func (f *Fleet) room(st Step, tasks int) bool {
	for _, w := range f.workers {
		cpu, mem := w.free()
		if w.up {
			tasks -= int(min(cpu/st.cpu, mem/st.mem))
		}
	}
	return tasks <= 0
}

// used returns the cpu in use on all workers, and capacity what they have.
func (f *Fleet) used() int64 {
	var sum int64
	for _, w := range f.workers {
		cpu, _ := w.free()
		sum += w.cpu - cpu
	}
	return sum
}

func (f *Fleet) capacity() int64 {
	var sum int64
	for _, w := range f.workers {
		if w.up {
			sum += w.cpu
		}
	}
	return sum
}

// free returns what the worker's runs leave.
func (w *Worker) free() (cpu, mem int64) {
	cpu, mem = w.cpu, w.mem
	for _, r := range w.running {
		cpu -= r.step.cpu
		mem -= r.step.mem
	}
	return cpu, mem
}

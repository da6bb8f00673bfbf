// Models the gangs of PROTOCOL.md, section "Jobs".

package scheduler

import (
	"time"
)

type (
	modelGangs struct {
		world *world
		runs  map[gangRun][]*modelRun
	}

	gangRun struct {
		step TaskRef
		run  int
	}
)

const modelGangTimeout = 3 * time.Second

// join adds a run to its gang, which begins to work once all members are there.
func (g *modelGangs) join(r *modelRun, size int) {
	w := g.world
	key := gangRun{stepOf(r.task), r.run}
	g.runs[key] = append(g.runs[key], r)
	members := g.runs[key]
	if g.present(members) < size {
		w.after(modelGangTimeout, func() {
			if r.result == 0 && g.present(g.runs[key]) < size {
				r.worker.end(r, ResultGangTimeout)
			}
		})
		return
	}
	failing := -1
	if w.chance(8) {
		failing = w.rand.IntN(len(members))
	}
	w.after(50*time.Millisecond+w.upTo(exploreLongest-50*time.Millisecond), func() {
		if g.present(members) < size {
			return
		}
		if failing >= 0 {
			members[failing].worker.end(members[failing], ResultFailed)
			return
		}
		for _, m := range members {
			m.worker.end(m, ResultDone)
		}
	})
}

// stepOf returns the first task of the task's step, which stands for the step.
func stepOf(t TaskRef) TaskRef { return NewTaskRef(t.job, t.occurrence, t.step, 0) }

func (g *modelGangs) present(members []*modelRun) int {
	n := 0
	for _, m := range members {
		if m.result == 0 {
			n++
		}
	}
	return n
}

// broken ends the other members of a run that has ended without being done.
func (g *modelGangs) broken(r *modelRun) {
	key := gangRun{stepOf(r.task), r.run}
	for _, m := range g.runs[key] {
		if m.result == 0 {
			g.world.after(time.Millisecond, func() { m.worker.end(m, ResultGangEnded) })
		}
	}
}

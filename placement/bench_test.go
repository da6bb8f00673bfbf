package placement

import (
	"fmt"
	"testing"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

// BenchmarkPlacement measures one placement in a group of 8 workers with 8
// slots each, one of which is free: choosing the bid and the worker, the offer,
// and releasing the capacity for the next round.
func BenchmarkPlacement(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			m, f := benchMachine(b, waiting)
			b.ReportAllocs()
			for b.Loop() {
				m.commands = m.commands[:0]
				if !m.placeOne(f.now) {
					b.Fatal("nothing placed")
				}
				id := m.commands[0].(postCommand).message.(order.OfferMsg).Task()
				e := m.entries[id]
				m.release(e)
				m.bids.add(&bid{task: e.task, attempt: e.attempt, queued: e.queued})
			}
		})
	}
}

// BenchmarkFullGroup measures one event while bids wait and no worker has free
// capacity.
func BenchmarkFullGroup(b *testing.B) {
	m, f := benchMachine(b, 1000)
	m.placeOne(f.now)
	b.ReportAllocs()
	for b.Loop() {
		m.step(f.now, messageEvent{message: order.NotOwnerMsg{}})
	}
}

func benchMachine(b *testing.B, waiting int) (*machine, *fixture) {
	f := newFixture(&testing.T{}, 8)
	for i, w := range f.workers {
		f.workers[i] = w.WithSize(order.Resources{}.WithCores(64000).WithMemory(256<<30), 8, 64)
	}
	records := make(map[order.TeamName]allotment)
	for i := range 10 {
		team := order.TeamName(fmt.Sprintf("team%d", i))
		f.config = f.config.WithTeam(sheet.NewTeam(team, 1, 1000))
		records[team] = allotment{count: 1000, version: 1, limit: 1000}
	}
	f.step(tickEvent{})
	f.step(allotmentsResult{records: records})
	for i := range 63 + waiting {
		team := order.TeamName(fmt.Sprintf("team%d", i%10))
		task := newTask(team, fmt.Sprintf("r%04d", i), order.MilliCores(500+100*(i%20))).WithQueued(f.now)
		if i < 63 {
			f.run(task)
			continue
		}
		f.m.bids.add(&bid{task: task, attempt: 1, queued: f.now})
	}
	if len(f.starts) != 63 {
		b.Fatalf("%d tasks run, want 63", len(f.starts))
	}
	return f.m, f
}

package placement_test

import (
	"fmt"
	"testing"
)

// BenchmarkGroupRun measures complete tasks in a running group with 8 worker
// stand-ins of 4 slots each over HTTP, all in one process: bid, offer,
// confirmation, start, outcome and acknowledgement. The tasks themselves take
// no time.
func BenchmarkGroupRun(b *testing.B) {
	s := newTestEnv(b, 8)
	g, stop := s.run(1)
	defer stop()
	s.eventually("workers are read", g.Adopted)
	b.ReportAllocs()
	b.ResetTimer()
	sent := 0
	for sent < b.N {
		for sent < b.N && sent-s.queue.endedCount() < 256 {
			bid(g, testTask(fmt.Sprintf("r%d", sent), 1000, `{"run_ms":0}`), 1)
			sent++
		}
		s.eventually("tasks end", func() bool { return sent-s.queue.endedCount() < 128 || s.queue.endedCount() >= b.N })
	}
	s.eventually("all tasks end", func() bool { return s.queue.endedCount() >= b.N })
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tasks/s")
}

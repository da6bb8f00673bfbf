package berth_test

import (
	"fmt"
	"testing"
)

// BenchmarkGroupRun measures whole tasks through a running group and 8 worker
// stand-ins of 4 slots over HTTP in one process: bid, offer, confirm, start,
// outcome, acknowledgement. The tasks themselves take no time.
func BenchmarkGroupRun(b *testing.B) {
	s := newSite(b, 8)
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

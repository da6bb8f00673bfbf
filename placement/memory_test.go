package placement

import (
	"fmt"
	"runtime"
	"testing"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

// BenchmarkRunningMemory measures the memory that a group needs per running
// task with a payload of 200 bytes, and per worker without tasks.
func BenchmarkRunningMemory(b *testing.B) {
	for _, workers := range []int{50, 200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				measureMemory(b, workers)
			}
		})
	}
}

func measureMemory(b *testing.B, workers int) {
	empty := heapBytes()
	f := newFixture(&testing.T{}, workers)
	f.config = f.config.WithTeam(sheet.NewTeam("tags", 1, 100000))
	f.step(tickEvent{})
	f.step(allotmentsResult{records: map[order.TeamName]allotment{"tags": {count: 100000, version: 1, limit: 100000}}})
	idle := heapBytes()
	for i := range 4 * workers {
		f.run(newTask("tags", fmt.Sprintf("r%06d", i), 500).WithPayload(make([]byte, 200)))
	}
	full := heapBytes()
	b.ReportMetric(float64(idle-empty)/float64(workers), "bytes/worker")
	b.ReportMetric(float64(full-idle)/float64(len(f.m.entries)), "bytes/task")
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

package order_test

import (
	"fmt"
	"testing"
	"time"

	"chervilhollow/order"
)

// BenchmarkCodec measures encoding and decoding of messages, and reports their
// encoded size.
func BenchmarkCodec(b *testing.B) {
	task := order.Task{}.WithID("toys/01J00000000000000000000000/0").WithTeam("toys").WithKind(order.Batch).
		WithSize(order.Resources{}.WithCores(8000).WithMemory(16 << 30)).WithQueued(time.Unix(1000, 5)).
		WithDeadline(time.Unix(1060, 5)).WithPayload(make([]byte, 200))
	messages := map[string]order.Msg{
		"bid":           order.BidMsg{}.WithPartition("g/east/r1").WithTask(task).WithAttempt(1 << 16),
		"offer":         order.OfferMsg{}.WithPartition("r/07").WithTask(task.ID()).WithAttempt(1 << 16).WithGroup("east/r1").WithEpoch(3).WithHold(time.Second / 2),
		"digest":        order.DigestMsg{}.WithRevision(12).WithGroups([]order.GroupDigest{digestOf(6)}),
		"digest64teams": order.DigestMsg{}.WithRevision(12).WithGroups([]order.GroupDigest{digestOf(64)}),
	}
	for _, name := range []string{"bid", "offer", "digest", "digest64teams"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, err := order.Encode(messages[name])
				if err != nil {
					b.Fatal(err)
				}
				if _, err := order.Decode(data); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// digestOf returns the digest of a group in which that many teams run tasks.
func digestOf(teams int) order.GroupDigest {
	running, allotted := make(map[order.TeamName]int), make(map[order.TeamName]int)
	for i := range teams {
		team := order.TeamName(fmt.Sprintf("team-%02d", i))
		running[team], allotted[team] = i%8, 8
	}
	size := order.Resources{}.WithCores(64000).WithMemory(256 << 30)
	return order.GroupDigest{}.WithGroup("east/r1").WithDomain("east").WithEpoch(3).WithFree(size).WithLargest(size).
		WithCapacity(size).WithFreeSlots(10).WithSlots(64).WithWorkers(8).WithRunning(running).WithAllotted(allotted)
}

package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/storage"
)

// newBenchProtocols returns an owner and a standby that have seen records of
// the given number of partitions.
func newBenchProtocols(b *testing.B, count int) (owner, standby *protocol, ids []order.PartitionID) {
	b.Helper()
	registry := gauge.New(zerolog.Nop())
	owner = newProtocol("10.0.0.1:7000/01", "a", simStart, registry, zerolog.Nop())
	standby = newProtocol("10.0.0.2:7000/01", "b", simStart, registry, zerolog.Nop())
	now := simStart.Add(time.Minute)
	for i := range count {
		id := order.GroupPartition(order.NewGroupID("east", fmt.Sprintf("rack%04d", i)))
		record := NewRecord(owner.self, standby.self, 1)
		owner.handleRecord(now, id, record, storage.Version(i+1))
		standby.handleRecord(now, id, record, storage.Version(i+1))
		ids = append(ids, id)
	}
	owner.takeCommands()
	standby.takeCommands()
	return owner, standby, ids
}

func lastMsg(c *protocol) order.Msg {
	out := c.takeCommands()
	return out[len(out)-1].(sendCommand).msg
}

func encodeDecode(b *testing.B, m order.Msg) (order.Msg, int) {
	data, err := order.Encode(m)
	if err != nil {
		b.Fatal(err)
	}
	decoded, err := order.Decode(data)
	if err != nil {
		b.Fatal(err)
	}
	return decoded, len(data)
}

// BenchmarkHeartbeatRound measures one heartbeat and its promise, on both
// sides, with and without encoding.
func BenchmarkHeartbeatRound(b *testing.B) {
	for _, count := range []int{16, 200, 1600} {
		for _, codec := range []bool{false, true} {
			b.Run(fmt.Sprintf("partitions=%d/codec=%t", count, codec), func(b *testing.B) {
				heartbeatRounds(b, count, codec)
			})
		}
	}
}

func heartbeatRounds(b *testing.B, count int, codec bool) {
	owner, standby, ids := newBenchProtocols(b, count)
	now := simStart.Add(2 * time.Minute)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(HeartbeatPeriod)
		owner.sendHeartbeats(now)
		heartbeat := lastMsg(owner)
		if codec {
			heartbeat, size = encodeDecode(b, heartbeat)
		}
		standby.handleHeartbeat(now, owner.self, heartbeat.(order.HeartbeatMsg))
		promise := lastMsg(standby)
		if codec {
			promise, _ = encodeDecode(b, promise)
		}
		owner.handlePromise(now, standby.self, promise.(order.PromiseMsg))
	}
	if codec {
		b.ReportMetric(float64(size), "bytes/heartbeat")
	}
	owner.deadlines.setProcessLimit(now.Add(time.Hour))
	if got := time.Duration(owner.deadlines.until(ids[0], 1)); got != now.Add(ownerValidity).Sub(simStart) {
		b.Fatalf("promise ends %s after the start", got)
	}
}

// BenchmarkTick measures the check of all deadlines, which runs every
// TickPeriod.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{16, 200, 1600} {
		b.Run(fmt.Sprintf("partitions=%d", count), func(b *testing.B) {
			owner, _, _ := newBenchProtocols(b, count)
			now := simStart.Add(2 * time.Minute)
			v := reachableView(now)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(TickPeriod)
				v.lastStoreReply = now
				owner.tick(now, v)
				owner.peers["10.0.0.2:7000/01"].lastReply = now
				owner.takeCommands()
			}
		})
	}
}

// BenchmarkRemaining measures the deadline check that precedes each write on
// behalf of a partition.
func BenchmarkRemaining(b *testing.B) {
	owner, _, ids := newBenchProtocols(b, 1600)
	b.ReportAllocs()
	for b.Loop() {
		_ = time.Duration(owner.deadlines.until(ids[7], 1)) - time.Since(owner.deadlines.base)
	}
}

package harbour

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
)

// benchPair returns an owner and a standby that know the partitions.
func benchPair(b *testing.B, count int) (owner, standby *protocol, ids []order.PartitionID) {
	b.Helper()
	registry := gauge.New(zerolog.Nop())
	owner = newProtocol("10.0.0.1:7000/01", "a", simStart, registry, zerolog.Nop())
	standby = newProtocol("10.0.0.2:7000/01", "b", simStart, registry, zerolog.Nop())
	now := simStart.Add(time.Minute)
	for i := range count {
		id := order.GroupPartition(order.NewGroupID("east", fmt.Sprintf("rack%04d", i)))
		record := NewRecord(owner.self, standby.self, 1)
		owner.observe(now, id, record, depot.Version(i+1))
		standby.observe(now, id, record, depot.Version(i+1))
		ids = append(ids, id)
	}
	owner.take()
	standby.take()
	return owner, standby, ids
}

func lastMsg(c *protocol) order.Msg {
	out := c.take()
	return out[len(out)-1].(sendCommand).msg
}

func passCodec(b *testing.B, m order.Msg) (order.Msg, int) {
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

// BenchmarkHeartbeatRound measures one heartbeat with its promise: both ends,
// without and with the codec.
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
	owner, standby, ids := benchPair(b, count)
	now := simStart.Add(2 * time.Minute)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(HeartbeatPeriod)
		owner.beat(now)
		beat := lastMsg(owner)
		if codec {
			beat, size = passCodec(b, beat)
		}
		standby.heartbeat(now, owner.self, beat.(order.HeartbeatMsg))
		promise := lastMsg(standby)
		if codec {
			promise, _ = passCodec(b, promise)
		}
		owner.promise(now, standby.self, promise.(order.PromiseMsg))
	}
	if codec {
		b.ReportMetric(float64(size), "bytes/heartbeat")
	}
	owner.deadlines.setLimit(now.Add(time.Hour))
	if got := time.Duration(owner.deadlines.until(ids[0], 1)); got != now.Add(ownerValidity).Sub(simStart) {
		b.Fatalf("promise ends after %s", got)
	}
}

// BenchmarkTick measures the look at all deadlines, which happens every
// TickPeriod.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{16, 200, 1600} {
		b.Run(fmt.Sprintf("partitions=%d", count), func(b *testing.B) {
			owner, _, _ := benchPair(b, count)
			now := simStart.Add(2 * time.Minute)
			v := reachableView(now)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(TickPeriod)
				v.storeSeen = now
				owner.tick(now, v)
				owner.pairs["10.0.0.2:7000/01"].heard = now
				owner.take()
			}
		})
	}
}

// BenchmarkRemaining measures the check before each write that acts.
func BenchmarkRemaining(b *testing.B) {
	owner, _, ids := benchPair(b, 1600)
	b.ReportAllocs()
	for b.Loop() {
		_ = time.Duration(owner.deadlines.until(ids[7], 1)) - time.Since(owner.deadlines.base)
	}
}

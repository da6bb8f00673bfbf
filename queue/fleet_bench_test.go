package queue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/queue"
	"chervilhollow/sheet"
)

type discardRecorder struct{}

func (discardRecorder) Add(logbook.Record) (logbook.Token, error) { return 0, nil }
func (discardRecorder) Cancel(logbook.Token) bool                 { return true }

const rackWorkers = 8

// observedMachine returns a machine with the digests of this many workers, in
// racks of 8. One group in four has free slots.
func observedMachine(workers int) (*queue.Machine, time.Time) {
	now := time.Unix(1000, 0)
	m := queue.NewMachine(now, testPartition, 1, discardRecorder{}, gauge.New(zerolog.Nop()), nil, queue.WithSeed(1), queue.WithOpenLimit(1<<30))
	size := order.Resources{}.WithCores(64000).WithMemory(256 << 30)
	config := sheet.NewConfig(1).WithTeam(sheet.NewTeam(testTeam, 1, 8*workers))
	var (
		digests []order.GroupDigest
		ids     []order.GroupID
	)
	for i := range max(1, workers/rackWorkers) {
		id := order.NewGroupID(order.DomainName(fmt.Sprintf("d%d", i%30)), fmt.Sprintf("r%d", i))
		free := 0
		if i%4 == 0 {
			free = 8
		}
		ids = append(ids, id)
		digests = append(digests, order.GroupDigest{}.WithGroup(id).WithDomain(id.Domain()).WithEpoch(1).
			WithFree(size).WithLargest(size).WithFreeSlots(free).WithWorkers(rackWorkers).WithSlots(8*rackWorkers).
			WithRunning(map[order.TeamName]int{testTeam: 8*rackWorkers - free}).
			WithAllotted(map[order.TeamName]int{testTeam: 8 * rackWorkers}))
	}
	m.Observe(now, queue.NewObservation().WithConfig(config).WithGroups(ids).WithDigests(digests).
		WithOwned(func(order.GroupID) bool { return true }))
	return m, now
}

// BenchmarkPlacement measures one placement decision: the choice of groups for
// a new request, the first offer, and the outcome.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{50, 1000, 12000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			m, now := observedMachine(workers)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				placeRequest(b, m, now, n)
			}
		})
	}
}

// placeRequest takes one request from its submission to its outcome.
func placeRequest(b *testing.B, m *queue.Machine, now time.Time, n int) {
	request := order.Request{}.WithID(order.RequestID(fmt.Sprintf("r%d", n))).WithTeam(testTeam).WithKind(order.Preview).
		WithIdempotent(true).WithFresh(true).WithTasks(1).WithSize(order.Resources{}.WithCores(1000).WithMemory(1 << 29)).
		WithDeadline(now.Add(time.Minute))
	var bid order.BidMsg
	for _, c := range m.Handle(now, "gate", order.SubmitMsg{}.WithPartition(testPartition).WithRequest(request).WithSequence(uint64(n))) {
		if post, ok := c.(queue.PostCmd); ok {
			bid, _ = post.Msg().(order.BidMsg)
		}
	}
	group, ok := bid.Partition().Group()
	if !ok {
		b.Fatal("no bid was sent")
	}
	m.Handle(now, placerID, order.OfferMsg{}.WithPartition(testPartition).WithTask(bid.Task().ID()).WithAttempt(bid.Attempt()).
		WithGroup(group).WithEpoch(1).WithHold(fakeHold))
	outcome := order.Outcome{}.WithTask(bid.Task().ID()).WithAttempt(bid.Attempt()).WithCode(order.Done).WithStarted(now).WithEnded(now)
	m.Handle(now, placerID, order.EndedMsg{}.WithPartition(testPartition).WithGroup(group).WithOutcome(outcome).WithEpoch(1))
	if m.Open() > 0 {
		b.Fatal("the request did not end")
	}
}

// BenchmarkObserveFleet measures an update of the digests of all groups, which
// a queue does twice a second.
func BenchmarkObserveFleet(b *testing.B) {
	for _, workers := range []int{50, 1000, 12000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			m, now := observedMachine(workers)
			o := fleetObservation(workers)
			b.ReportAllocs()
			for b.Loop() {
				m.Observe(now, o)
			}
		})
	}
}

func fleetObservation(workers int) queue.Observation {
	var (
		digests []order.GroupDigest
		ids     []order.GroupID
	)
	for i := range max(1, workers/rackWorkers) {
		id := order.NewGroupID(order.DomainName(fmt.Sprintf("d%d", i%30)), fmt.Sprintf("r%d", i))
		ids = append(ids, id)
		digests = append(digests, order.GroupDigest{}.WithGroup(id).WithDomain(id.Domain()).WithEpoch(1).WithWorkers(rackWorkers))
	}
	return queue.NewObservation().WithGroups(ids).WithDigests(digests).WithOwned(func(order.GroupID) bool { return true })
}

// BenchmarkWaitingMemory measures the memory of a waiting request with a
// payload of 200 bytes.
func BenchmarkWaitingMemory(b *testing.B) {
	for _, requests := range []int{1000, 10000, 50000} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				m, now := observedMachine(50)
				for n := range requests {
					request := order.Request{}.WithID(order.RequestID(fmt.Sprintf("r%d", n))).WithTeam(testTeam).WithKind(order.Batch).
						WithIdempotent(true).WithFresh(true).WithTasks(1).WithSize(order.Resources{}.WithCores(1000)).
						WithDeadline(now.Add(time.Minute)).WithPayload(make([]byte, 200))
					m.Handle(now, "gate", order.SubmitMsg{}.WithPartition(testPartition).WithRequest(request).WithSequence(uint64(n)))
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(m.Open()), "bytes/request")
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/queue"
	"chervilhollow/sheet"
)

// pendingRecorder takes all records and never reports them as written.
type pendingRecorder struct{ token logbook.Token }

func (d *pendingRecorder) Add(logbook.Record) (logbook.Token, error) {
	d.token++
	return d.token, nil
}

func (d *pendingRecorder) Cancel(logbook.Token) bool { return false }

// recoveredMachine returns a machine with digests of the groups and a complete
// inventory.
func recoveredMachine(b *testing.B, groups int) (*queue.Machine, time.Time) {
	b.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m := queue.NewMachine(now, testPartition, 1, &pendingRecorder{}, gauge.New(zerolog.Nop()), nil, queue.WithSeed(1))
	var (
		names   []order.GroupID
		digests []order.GroupDigest
	)
	for i := range groups {
		g := &fakeGroup{id: order.NewGroupID(order.DomainName(fmt.Sprintf("d%d", i%30)), fmt.Sprint("r", i)), epoch: 1, slots: 1 << 20}
		names = append(names, g.id)
		digests = append(digests, g.digest())
	}
	m.Observe(now, queue.NewObservation().
		WithConfig(sheet.NewConfig(1).WithTeam(sheet.NewTeam(testTeam, 1, 1<<20))).
		WithGroups(names).
		WithDigests(digests).
		WithPlacers([]order.MemberID{placerID}))
	m.Handle(now, placerID, order.InventoryReplyMsg{}.WithPartition(testPartition).WithEpoch(1).WithGroups(names))
	if !m.Recovered() {
		b.Fatal("the inventory is not complete")
	}
	return m, now
}

// completeRequest takes one request from its submission to its answer.
func completeRequest(b *testing.B, m *queue.Machine, now time.Time, r order.Request) {
	var bid order.BidMsg
	var group order.GroupID
	for _, c := range m.Handle(now, "gate0", order.SubmitMsg{}.WithPartition(testPartition).WithRequest(r)) {
		post, ok := c.(queue.PostCmd)
		if !ok {
			continue
		}
		if msg, ok := post.Msg().(order.BidMsg); ok {
			bid, group = msg, post.Group()
		}
	}
	id, attempt := bid.Task().ID(), bid.Attempt()
	m.Handle(now, placerID, order.OfferMsg{}.WithTask(id).WithAttempt(attempt).WithGroup(group).WithEpoch(1))
	m.Handle(now, placerID, order.StartedMsg{}.WithTask(id).WithAttempt(attempt).WithGroup(group))
	answered := false
	outcome := order.Outcome{}.WithTask(id).WithAttempt(attempt).WithCode(order.Done)
	for _, c := range m.Handle(now, placerID, order.EndedMsg{}.WithGroup(group).WithOutcome(outcome).WithEpoch(1)) {
		if send, ok := c.(queue.SendCmd); ok {
			a, ok := send.Msg().(order.AnswerMsg)
			answered = ok && a.Code() == order.Done
		}
	}
	if !answered {
		b.Fatalf("%s has no answer", r.ID())
	}
}

// BenchmarkSubmitToAnswer measures the messages of attached idempotent requests
// in one partition: submit, bid, offer, confirm, start, end and answer.
func BenchmarkSubmitToAnswer(b *testing.B) {
	for _, groups := range []int{7, 1500} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			m, now := recoveredMachine(b, groups)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Millisecond)
				completeRequest(b, m, now, request(fmt.Sprint("r", i), order.Preview))
				m.Tick(now)
			}
		})
	}
}

// BenchmarkObserve measures an update of the digests of 1,500 groups while
// 1,000 requests wait.
func BenchmarkObserve(b *testing.B) {
	m, now := recoveredMachine(b, 1500)
	for i := range 1000 {
		m.Handle(now, "gate0", order.SubmitMsg{}.WithPartition(testPartition).WithRequest(request(fmt.Sprint("r", i), order.Batch)))
	}
	var digests []order.GroupDigest
	var names []order.GroupID
	for i := range 1500 {
		g := &fakeGroup{id: order.NewGroupID(order.DomainName(fmt.Sprintf("d%d", i%30)), fmt.Sprint("r", i)), epoch: 1, slots: 8}
		names = append(names, g.id)
		digests = append(digests, g.digest())
	}
	o := queue.NewObservation().
		WithConfig(sheet.NewConfig(1).WithTeam(sheet.NewTeam(testTeam, 1, 1<<20))).
		WithGroups(names).
		WithDigests(digests)
	b.ReportAllocs()
	for b.Loop() {
		m.Observe(now, o)
	}
}

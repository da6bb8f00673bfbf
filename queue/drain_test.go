package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/sheet"
)

const (
	drainPartition = order.PartitionID("r/03")
	drainGroup     = order.GroupID("east/r1")
	drainPlacer    = order.MemberID("10.0.0.1:1/p")
)

// memoryRecorder collects the records. The test reports when they are written.
type memoryRecorder struct{ records []logbook.Record }

func (r *memoryRecorder) Add(record logbook.Record) (logbook.Token, error) {
	r.records = append(r.records, record)
	return logbook.Token(len(r.records)), nil
}

func (*memoryRecorder) Cancel(logbook.Token) bool { return false }

func observedMachine(now time.Time, epoch order.Epoch, recorder Recorder, records []logbook.Record) *Machine {
	m := NewMachine(now, drainPartition, epoch, recorder, gauge.New(zerolog.Nop()), records)
	size := order.Resources{}.WithCores(64000).WithMemory(1 << 38)
	m.Observe(now, NewObservation().
		WithConfig(sheet.NewConfig(1).WithTeam(sheet.NewTeam("toys", 1, 100))).
		WithGroups([]order.GroupID{drainGroup}).
		WithPlacers([]order.MemberID{drainPlacer}).
		WithOwned(func(order.GroupID) bool { return true }).
		WithDigests([]order.GroupDigest{order.GroupDigest{}.
			WithGroup(drainGroup).WithDomain("east").WithEpoch(1).WithWorkers(8).WithSlots(64).
			WithFree(size).WithFreeSlots(64).WithLargest(size).WithCapacity(size).
			WithAllotted(map[order.TeamName]int{"toys": 64})}))
	return m
}

func completeInventory(m *Machine, now time.Time, epoch order.Epoch) []Command {
	return m.Handle(now, drainPlacer, order.InventoryReplyMsg{}.
		WithPartition(drainPartition).WithEpoch(epoch).WithGroups([]order.GroupID{drainGroup}))
}

// machineWithPendingStart returns a machine with a non-idempotent request that
// has an offer, and whose start record is not written yet.
func machineWithPendingStart(t *testing.T, now time.Time) (*Machine, *memoryRecorder) {
	t.Helper()
	recorder := &memoryRecorder{}
	m := observedMachine(now, 1, recorder, nil)
	completeInventory(m, now, 1)
	request := order.Request{}.WithID("r1").WithTeam("toys").WithKind(order.Batch).WithTasks(1).
		WithSize(order.Resources{}.WithCores(1000).WithMemory(1 << 20)).
		WithDeadline(now.Add(time.Minute)).WithReceived(now).WithPayload([]byte("tags"))
	var bid order.BidMsg
	for _, c := range m.Handle(now, "gate", order.SubmitMsg{}.WithPartition(drainPartition).WithRequest(request)) {
		if post, ok := c.(PostCmd); ok {
			bid, _ = post.Msg().(order.BidMsg)
		}
	}
	m.Handle(now, drainPlacer, order.OfferMsg{}.WithTask(bid.Task().ID()).WithAttempt(bid.Attempt()).
		WithGroup(drainGroup).WithEpoch(1).WithHold(500*time.Millisecond))
	if len(recorder.records) != 1 || recorder.records[0].Kind() != logbook.Starting {
		t.Fatalf("the start was not journaled: %d records", len(recorder.records))
	}
	return m, recorder
}

// Guards against a planned move that answers "outcome unknown" for a request
// whose start is in the journal but was never confirmed.
func TestDrainHandsOverUnconfirmedStarts(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	m, recorder := machineWithPendingStart(t, now)
	m.draining = true
	is.True(m.startPending())
	for _, c := range m.RecordDone(now, 1, nil) {
		if post, ok := c.(PostCmd); ok {
			_, confirms := post.Msg().(order.ConfirmMsg)
			is.True(!confirms) // nothing may start after the state was taken
		}
	}
	is.True(!m.startPending())
	state := m.exportState()
	successor := observedMachine(now, 2, &memoryRecorder{}, recorder.records)
	is.NoErr(successor.importState(state))
	var payload string
	for _, c := range completeInventory(successor, now, 2) {
		if post, ok := c.(PostCmd); ok {
			if bid, ok := post.Msg().(order.BidMsg); ok {
				payload = string(bid.Task().Payload())
			}
		}
	}
	is.Equal(successor.jobs[logbook.Key{Team: "toys", Request: "r1"}].phase, phaseOpen)
	is.Equal(payload, "tags") // the journal has no payload of an attached request
}

// Guards against treating a start as unconfirmed that may have run: without the
// handover state, or after a confirmation, the outcome stays unknown.
func TestConfirmedStartsStayUnknown(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	m, recorder := machineWithPendingStart(t, now)
	confirmed := false
	for _, c := range m.RecordDone(now, 1, nil) {
		if post, ok := c.(PostCmd); ok {
			_, confirms := post.Msg().(order.ConfirmMsg)
			confirmed = confirmed || confirms
		}
	}
	is.True(confirmed)
	m.draining = true
	for _, state := range [][]byte{nil, m.exportState()} {
		successor := observedMachine(now, 2, &memoryRecorder{}, recorder.records)
		is.NoErr(successor.importState(state))
		completeInventory(successor, now, 2)
		j := successor.jobs[logbook.Key{Team: "toys", Request: "r1"}]
		is.Equal(j.outcome.Code(), order.OutcomeUnknown)
	}
}

package logbook_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

const partition = order.PartitionID("r/03")

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(kind logbook.Kind, id string, at time.Time) logbook.Record {
	r := order.Request{}.WithTeam("toys").WithID(order.RequestID(id))
	return logbook.NewRecord(kind, r, 7, at)
}

// openFenced returns a log that has written its first segment.
func openFenced(t interface{ Fatalf(string, ...any) }, store storage.Store, epoch order.Epoch, now time.Time) *logbook.Log {
	for range 1000 {
		entries, _, err := store.List(context.Background(), logbook.Prefix(partition))
		if err != nil {
			continue
		}
		l, err := logbook.NewLog(partition, epoch, fmt.Sprint("owner", epoch), entries)
		if err != nil {
			t.Fatalf("replay: %v", err)
		}
		op := l.Fence(now)
		l.HandleResult(now, op, logbook.Execute(context.Background(), store, op))
		if l.Fenced() {
			return l
		}
	}
	t.Fatalf("journal not opened after 1000 attempts")
	return nil
}

// runDueCalls makes the calls that are due and returns the completions.
func runDueCalls(l *logbook.Log, store storage.Store, now time.Time) []logbook.Completion {
	var all []logbook.Completion
	for range 10 {
		op, ok := l.Next(now)
		if !ok {
			break
		}
		all = append(all, l.HandleResult(now, op, logbook.Execute(context.Background(), store, op))...)
	}
	return all
}

// Guards against a separate write for each record, and against records that
// wait longer than WriteInterval.
func TestGroupCommit(t *testing.T) {
	is := is.New(t)
	clock := timers.NewManual(startTime)
	store := storage.NewMemory(clock)
	l := openFenced(t, store, 1, clock.Now())
	clock.Advance(logbook.WriteInterval)
	_, err := l.Add(record(logbook.Accepted, "a", startTime))
	is.NoErr(err)
	is.Equal(len(runDueCalls(l, store, clock.Now())), 1) // written at once: the last write was an interval ago
	for i := range 100 {
		_, err := l.Add(record(logbook.Accepted, fmt.Sprint(i), startTime))
		is.NoErr(err)
	}
	clock.Advance(logbook.WriteInterval - time.Millisecond)
	is.Equal(len(runDueCalls(l, store, clock.Now())), 0) // batched
	clock.Advance(time.Millisecond)
	is.Equal(len(runDueCalls(l, store, clock.Now())), 100) // all in one segment
	is.Equal(store.Calls(storage.CallSwap), int64(3))
	is.Equal(len(openFenced(t, store, 2, clock.Now()).Records()), 101)
}

// Guards against an owner that continues after another one has taken over.
func TestFencing(t *testing.T) {
	is := is.New(t)
	clock := timers.NewManual(startTime)
	store := storage.NewMemory(clock)
	old := openFenced(t, store, 1, clock.Now())
	openFenced(t, store, 2, clock.Now())
	clock.Advance(time.Second)
	_, err := old.Add(record(logbook.Starting, "a", startTime))
	is.NoErr(err)
	done := runDueCalls(old, store, clock.Now())
	is.Equal(len(done), 1)
	is.True(errors.Is(done[0].Err(), logbook.ErrFenced))
	_, err = old.Add(record(logbook.Starting, "b", startTime))
	is.True(errors.Is(err, logbook.ErrFenced))
	_, err = logbook.NewLog(partition, 1, "late", segmentEntries(t, store))
	is.True(errors.Is(err, logbook.ErrFenced)) // a lower epoch cannot open it
}

func segmentEntries(t testing.TB, store storage.Store) []storage.Entry {
	t.Helper()
	all, _, err := store.List(context.Background(), logbook.Prefix(partition))
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// Guards against a journal that grows without bound, segments above the size
// limit of the store, and outcomes that are kept after their retention or are
// lost.
func TestCompaction(t *testing.T) {
	is := is.New(t)
	clock := timers.NewManual(startTime)
	store := storage.NewMemory(clock)
	l := openFenced(t, store, 1, clock.Now())
	body := make([]byte, logbook.MaxOutcomeBody)
	write := func(kind logbook.Kind, id string, body []byte) {
		r := record(kind, id, clock.Now()).WithOutcome(order.Outcome{}.WithBody(body))
		_, err := l.Add(r)
		is.NoErr(err)
		clock.Advance(logbook.WriteInterval)
		runDueCalls(l, store, clock.Now())
	}
	write(logbook.Ended, "old", body)
	clock.Advance(logbook.Retention)
	write(logbook.Accepted, "open", nil)
	for i := range 300 {
		write(logbook.Ended, fmt.Sprint("r", i%20), body)
	}
	for range 200 {
		clock.Advance(logbook.WriteInterval)
		runDueCalls(l, store, clock.Now())
	}
	size := 0
	for _, e := range segmentEntries(t, store) {
		size += len(e.Value())
		is.True(len(e.Value()) < storage.MaxValue)
	}
	is.True(size < 12<<20) // above twice the live records
	records := openFenced(t, store, 2, clock.Now()).Records()
	ids := make(map[order.RequestID]bool)
	for _, r := range records {
		ids[r.Key().Request] = true
	}
	is.Equal(len(ids), 21)
	is.True(ids["open"])
	is.True(!ids["old"])
}

// Guards against the replay of a segment that a fenced owner wrote late, below
// the snapshot of its successor.
func TestLateSegmentBelowSnapshot(t *testing.T) {
	is := is.New(t)
	clock := timers.NewManual(startTime)
	store := storage.NewMemory(clock)
	old := openFenced(t, store, 1, clock.Now())
	clock.Advance(time.Second)
	_, err := old.Add(record(logbook.Accepted, "late", startTime))
	is.NoErr(err)
	late, ok := old.Next(clock.Now())
	is.True(ok)
	l := openFenced(t, store, 2, clock.Now())
	body := make([]byte, logbook.MaxOutcomeBody)
	for range 200 {
		_, err := l.Add(record(logbook.Ended, "r", clock.Now()).WithOutcome(order.Outcome{}.WithBody(body)))
		is.NoErr(err)
		clock.Advance(logbook.WriteInterval)
		runDueCalls(l, store, clock.Now())
	}
	result := logbook.Execute(context.Background(), store, late)
	is.Equal(len(old.HandleResult(clock.Now(), late, result)), 1) // its key was deleted
	for _, r := range openFenced(t, store, 3, clock.Now()).Records() {
		is.True(r.Key().Request != "late")
	}
}

// ownerSequence runs the owners of one journal one after the other. An owner
// that is replaced may leave a write that is executed later.
type ownerSequence struct {
	clock      *timers.Manual
	store      *storage.Memory
	epoch      order.Epoch
	log        *logbook.Log
	op         *logbook.Op
	lateWrites []logbook.Op
	added      int
	pending    map[logbook.Token]string
	written    map[string]bool
	cancelled  map[string]bool
}

func (o *ownerSequence) step(t *rapid.T) {
	if o.op == nil {
		if next, ok := o.log.Next(o.clock.Now()); ok {
			o.op = &next
		}
		return
	}
	done := o.log.HandleResult(o.clock.Now(), *o.op, logbook.Execute(context.Background(), o.store, *o.op))
	o.op = nil
	for _, c := range done {
		if c.Err() != nil {
			t.Fatalf("current owner is fenced: %v", c.Err())
		}
		o.written[o.pending[c.Token()]] = true
		delete(o.pending, c.Token())
	}
}

func (o *ownerSequence) add(t *rapid.T) {
	o.added++
	id := fmt.Sprint("r", o.added)
	token, err := o.log.Add(record(logbook.Accepted, id, o.clock.Now()))
	if err != nil {
		t.Fatalf("add: %v", err)
	}
	o.pending[token] = id
}

func (o *ownerSequence) cancel(t *rapid.T) {
	token := logbook.Token(rapid.IntRange(1, o.added+1).Draw(t, "token"))
	id, ok := o.pending[token]
	if ok && o.log.Cancel(token) {
		o.cancelled[id] = true
		delete(o.pending, token)
	}
}

func (o *ownerSequence) changeOwner(t *rapid.T) {
	if o.op != nil {
		o.lateWrites = append(o.lateWrites, *o.op)
		o.op = nil
	}
	o.epoch++
	o.log = openFenced(t, o.store, o.epoch, o.clock.Now())
	o.pending = make(map[logbook.Token]string)
}

func (o *ownerSequence) runLateWrites(*rapid.T) {
	for _, op := range o.lateWrites {
		logbook.Execute(context.Background(), o.store, op)
	}
	o.lateWrites = nil
}

func (o *ownerSequence) check(t *rapid.T) {
	found := make(map[string]bool)
	for _, r := range openFenced(t, o.store, o.epoch+1, o.clock.Now()).Records() {
		found[string(r.Key().Request)] = true
	}
	for id := range o.written {
		if !found[id] {
			t.Fatalf("record %s was reported as written and is lost", id)
		}
	}
	for id := range o.cancelled {
		if found[id] {
			t.Fatalf("record %s was cancelled and is replayed", id)
		}
	}
}

// Guards against a record that was reported as written and is lost, one that
// was cancelled and is replayed, and two owners that both append. The causes
// are outages, lost requests and replies, late writes and changes of the owner.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timers.NewManual(startTime)
		o := &ownerSequence{
			clock:     clock,
			store:     storage.NewMemory(clock),
			written:   make(map[string]bool),
			cancelled: make(map[string]bool),
		}
		fault := rapid.SampledFrom([]storage.Fault{storage.FaultNone, storage.FaultNone, storage.FaultNone, storage.FaultUnavailable, storage.FaultAnswerLost, storage.FaultRequestLost})
		o.store.SetFaults(func(storage.CallKind) storage.Fault { return fault.Draw(t, "fault") })
		o.changeOwner(t)
		t.Repeat(map[string]func(*rapid.T){
			"add":        o.add,
			"cancel":     o.cancel,
			"step":       o.step,
			"owner":      o.changeOwner,
			"late write": o.runLateWrites,
			"wait": func(t *rapid.T) {
				o.clock.Advance(50 * time.Millisecond)
				o.step(t)
			},
		})
		o.store.SetFaults(nil)
		o.check(t)
	})
}

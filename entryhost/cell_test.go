package entryhost

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/scheduler"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// scriptedStore lists nothing and returns the events to the first watch.
	scriptedStore struct {
		storage.Store
		events []storage.Event
	}

	// addressDecoder decodes entries whose value is the address of a worker.
	addressDecoder struct{ keyDecoder }
)

func (*scriptedStore) List(context.Context, string) ([]storage.Entry, storage.Version, error) {
	return nil, 1, nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after storage.Version, _ time.Duration) ([]storage.Event, storage.Version, error) {
	if after > 1 {
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	return s.events, 9, nil
}

func (addressDecoder) DecodeWorker(e storage.Entry) (scheduler.WorkerInfo, error) {
	return scheduler.NewWorkerInfo(order.WorkerID(e.Key()), string(e.Value()), "press", "quay", order.Resources{}), nil
}

// A worker may be removed and listed again within one answer of the watch.
func TestLastEventOfWorkerCounts(t *testing.T) {
	is := is.New(t)
	h := New("10.0.0.1:7000", "quay", "a secret of sixteen", NewDependencies(nil, nil, nil, addressDecoder{}),
		scheduler.NewLimits(time.Second, time.Minute), timers.New(), gauge.New(zerolog.Nop()), zerolog.Nop())
	put := func(id, address string, version storage.Version) storage.Event {
		return storage.NewEvent(storage.NewEntry(id, []byte(address), version), false)
	}
	remove := func(id string, version storage.Version) storage.Event {
		return storage.NewEvent(storage.NewEntry(id, nil, version), true)
	}
	store := &scriptedStore{events: []storage.Event{
		put("w1", "a", 2), remove("w1", 3), put("w1", "b", 4), put("w2", "c", 5), remove("w2", 6),
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var infos []scheduler.WorkerInfo
	var unreadable, deleted []order.WorkerID
	f := storage.NewFollower(store, timers.New(), "servers/", 0, zerolog.Nop(), func(c storage.Change) {
		if !c.IsSnapshot() {
			infos, unreadable, deleted = h.decodeWorkers(c)
			cancel()
		}
	})
	is.NoErr(f.Run(ctx))
	is.Equal(infos, []scheduler.WorkerInfo{scheduler.NewWorkerInfo("w1", "b", "press", "quay", order.Resources{})})
	is.Equal(deleted, []order.WorkerID{"w2"})
	is.Equal(len(unreadable), 0)
}

package sheet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/tide"
)

// pipe delivers messages between two watchers at once.
type pipe struct {
	self  order.MemberID
	peers map[order.MemberID]*Watcher
}

func (p pipe) Send(to order.MemberID, m order.Msg) error {
	data, err := order.Encode(m)
	if err != nil {
		return err
	}
	received, err := order.Decode(data)
	if err != nil {
		return err
	}
	p.peers[to].Handle(p.self, received)
	return nil
}

// watching drives two watchers, of which the second one sees the store only
// through old root entries and its peer.
type watching struct {
	t       *rapid.T
	store   *depot.Memory
	editor  *Editor
	configs []*Config
	roots   []depot.Entry
	a, b    *Watcher
	wasA    order.Revision
	wasB    order.Revision
	notices *Subscription
}

func newWatching(rt *rapid.T) *watching {
	clock := newInstantClock()
	store := depot.NewMemory(clock)
	peers := make(map[order.MemberID]*Watcher)
	w := &watching{
		t:       rt,
		store:   store,
		editor:  NewEditor(store, clock),
		configs: []*Config{NewConfig(0)},
		a:       NewWatcher(store, clock, WithSender(pipe{"a", peers})),
		b:       NewWatcher(store, clock, WithSender(pipe{"b", peers})),
	}
	peers["a"], peers["b"] = w.a, w.b
	w.notices = w.b.Subscribe()
	return w
}

func (w *watching) change() {
	ctx := context.Background()
	if _, err := w.editor.Edit(ctx, wide); err != nil {
		w.t.Fatal(err)
	}
	base, err := w.editor.Load(ctx)
	if err != nil {
		w.t.Fatal(err)
	}
	entry, err := w.store.Get(ctx, rootKey)
	if err != nil {
		w.t.Fatal(err)
	}
	w.configs = append(w.configs, base.Config())
	w.roots = append(w.roots, entry)
}

func (w *watching) load() {
	if _, err := w.a.load(context.Background()); err != nil {
		w.t.Fatal(err)
	}
	if w.a.Revision() != w.configs[len(w.configs)-1].revision {
		w.t.Fatalf("watcher has revision %d after reading", w.a.Revision())
	}
}

// readOld shows the second watcher a root record of any age. An error is
// possible when its snapshot has been deleted.
func (w *watching) readOld() {
	if len(w.roots) == 0 {
		return
	}
	entry := rapid.SampledFrom(w.roots).Draw(w.t, "root")
	_ = w.b.read(context.Background(), entry)
}

func (w *watching) offer() {
	c := rapid.SampledFrom(w.configs).Draw(w.t, "config")
	document, err := EncodeConfig(c)
	if err != nil {
		w.t.Fatal(err)
	}
	if err := w.b.Offer(c.revision, document); err != nil {
		w.t.Fatal(err)
	}
	if w.b.Offer(c.revision+1000, document) == nil {
		w.t.Fatal("document of another revision was taken over")
	}
}

func (w *watching) ask() {
	if err := w.b.Ask("a"); err != nil {
		w.t.Fatal(err)
	}
	if w.b.Revision() < w.a.Revision() {
		w.t.Fatalf("revision %d after asking a peer with %d", w.b.Revision(), w.a.Revision())
	}
}

func (w *watching) check() {
	a, b := w.a.Current(), w.b.Current()
	if a.revision < w.wasA || b.revision < w.wasB {
		w.t.Fatalf("went back from %d, %d to %d, %d", w.wasA, w.wasB, a.revision, b.revision)
	}
	if b.revision > w.wasB {
		select {
		case c := <-w.notices.C():
			if c != b {
				w.t.Fatal("subscriber heard of an older configuration")
			}
		default:
			w.t.Fatal("subscriber heard nothing")
		}
	}
	w.wasA, w.wasB = a.revision, b.revision
	mustEqual(w.t, a, w.configs[a.revision])
	mustEqual(w.t, b, w.configs[b.revision])
}

// Guards against a configuration that reverts, or that differs from the
// accepted one of its revision, when old records and old documents of peers
// arrive late.
func TestWatcherNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWatching(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"change":   func(*rapid.T) { w.change() },
			"load":     func(*rapid.T) { w.load() },
			"read old": func(*rapid.T) { w.readOld() },
			"offer":    func(*rapid.T) { w.offer() },
			"ask":      func(*rapid.T) { w.ask() },
			"":         func(*rapid.T) { w.check() },
		})
	})
}

// crowd is a run of operators that edit at the same time on a faulty store,
// while a watcher follows.
type crowd struct {
	memory   *depot.Memory
	clock    tide.Clock
	mu       sync.Mutex
	accepted map[string]order.Revision
	unknown  int
}

func (c *crowd) operate(ctx context.Context, changes int) error {
	editor := NewEditor(c.memory, c.clock)
	for range changes {
		change, err := editor.Edit(ctx, wide)
		var conflict *ConflictError
		c.mu.Lock()
		switch {
		case err == nil:
			c.accepted[change.ID()] = change.Revision()
		case errors.Is(err, depot.ErrUncertain):
			c.unknown++
		case errors.As(err, &conflict), errors.Is(err, depot.ErrUnavailable):
		default:
			c.mu.Unlock()
			return err
		}
		c.mu.Unlock()
	}
	return nil
}

// crowdFaults returns a source of faults with outages of some calls in length.
func crowdFaults(seed uint64) func(depot.Call) depot.Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	down := 0
	return func(depot.Call) depot.Fault {
		if down > 0 {
			down--
			return depot.FaultUnavailable
		}
		switch random.IntN(20) {
		case 0:
			down = random.IntN(8)
			return depot.FaultUnavailable
		case 1, 2:
			return depot.FaultAnswerLost
		case 3:
			return depot.FaultRequestLost
		}
		return depot.FaultNone
	}
}

// Guards against an accepted change that is lost or applied twice when
// operators edit at the same time during outages, and against a watcher that
// does not reach the last revision afterwards or leaves goroutines behind.
func TestCrowdOfEditors(t *testing.T) {
	defer goleak.VerifyNone(t)
	for seed := range uint64(5) {
		crowdRun(t, seed)
	}
}

func crowdRun(t *testing.T, seed uint64) {
	is := is.New(t)
	clock := newInstantClock()
	memory := depot.NewMemory(clock)
	c := &crowd{memory: memory, clock: clock, accepted: make(map[string]order.Revision)}
	ctx, cancel := context.WithCancel(context.Background())
	watcher := NewWatcher(memory, tide.New())
	history := make(map[string]order.Revision)
	var running sync.WaitGroup
	running.Go(func() { _ = watcher.Run(ctx) })
	memory.SetFaults(crowdFaults(seed))
	var operators sync.WaitGroup
	for range 6 {
		operators.Go(func() {
			if err := c.operate(ctx, 12); err != nil {
				t.Error(err)
			}
		})
	}
	operators.Wait()
	memory.SetFaults(nil)
	base, err := readBase(ctx, memory, NewConfig(0))
	is.NoErr(err)
	changes, err := changesSince(ctx, memory, base.root, 0)
	is.NoErr(err)
	for _, change := range changes {
		_, twice := history[change.ID()]
		is.True(!twice) // no change is applied twice
		history[change.ID()] = change.Revision()
	}
	for id, revision := range c.accepted {
		is.Equal(history[id], revision) // no accepted change is lost
	}
	is.True(len(history) <= len(c.accepted)+c.unknown)
	counter, _ := base.config.Team("counter")
	is.Equal(counter.Limit(), len(history))
	t.Logf("seed %d: %d accepted, %d unknown", seed, len(c.accepted), c.unknown)
	for deadline := time.Now().Add(5 * time.Second); watcher.Revision() < base.config.revision; {
		if time.Now().After(deadline) {
			t.Fatalf("watcher has revision %d, store %d", watcher.Revision(), base.config.revision)
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	running.Wait()
}

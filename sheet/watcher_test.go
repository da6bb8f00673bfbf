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

	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// directSender passes messages between two watchers in the sender's goroutine,
// encoded and decoded as on the wire.
type directSender struct {
	self  order.MemberID
	peers map[order.MemberID]*Watcher
}

func (p directSender) Send(to order.MemberID, m order.Msg) error {
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

// watcherTest drives two watchers. The first one reads the store; the second
// one receives only root entries of any age, and configurations from its peer.
type watcherTest struct {
	t       *rapid.T
	store   *storage.Memory
	editor  *Editor
	configs []*Config
	roots   []storage.Entry
	a, b    *Watcher
	lastA   order.Revision
	lastB   order.Revision
	notices *Subscription
}

func newWatcherTest(rt *rapid.T) *watcherTest {
	clock := newInstantClock()
	store := storage.NewMemory(clock)
	peers := make(map[order.MemberID]*Watcher)
	w := &watcherTest{
		t:       rt,
		store:   store,
		editor:  NewEditor(store, clock),
		configs: []*Config{NewConfig(0)},
		a:       NewWatcher(store, clock, WithSender(directSender{"a", peers})),
		b:       NewWatcher(store, clock, WithSender(directSender{"b", peers})),
	}
	peers["a"], peers["b"] = w.a, w.b
	w.notices = w.b.Subscribe()
	return w
}

// change makes a change and keeps its configuration and root entry.
func (w *watcherTest) change() {
	ctx := context.Background()
	if _, err := w.editor.Edit(ctx, largeEdits); err != nil {
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

func (w *watcherTest) load() {
	if _, err := w.a.load(context.Background()); err != nil {
		w.t.Fatal(err)
	}
	if w.a.Revision() != w.configs[len(w.configs)-1].revision {
		w.t.Fatalf("watcher has revision %d after reading", w.a.Revision())
	}
}

// readOld passes a root entry of any age to the second watcher, which returns
// an error if the entry's snapshot was deleted.
func (w *watcherTest) readOld() {
	if len(w.roots) == 0 {
		return
	}
	entry := rapid.SampledFrom(w.roots).Draw(w.t, "root")
	_ = w.b.applyEntry(context.Background(), entry)
}

func (w *watcherTest) offer() {
	c := rapid.SampledFrom(w.configs).Draw(w.t, "config")
	document, err := EncodeConfig(c)
	if err != nil {
		w.t.Fatal(err)
	}
	if err := w.b.Offer(c.revision, document); err != nil {
		w.t.Fatal(err)
	}
	if w.b.Offer(c.revision+1000, document) == nil {
		w.t.Fatal("document of another revision was accepted")
	}
}

func (w *watcherTest) ask() {
	if err := w.b.RequestConfig("a"); err != nil {
		w.t.Fatal(err)
	}
	if w.b.Revision() < w.a.Revision() {
		w.t.Fatalf("revision %d after asking a peer with %d", w.b.Revision(), w.a.Revision())
	}
}

// check compares both watchers with the accepted configurations of their
// revisions, and the notice to the subscriber with the second watcher.
func (w *watcherTest) check() {
	a, b := w.a.Current(), w.b.Current()
	if a.revision < w.lastA || b.revision < w.lastB {
		w.t.Fatalf("revisions decreased from %d, %d to %d, %d", w.lastA, w.lastB, a.revision, b.revision)
	}
	if b.revision > w.lastB {
		select {
		case c := <-w.notices.C():
			if c != b {
				w.t.Fatal("subscriber received another configuration")
			}
		default:
			w.t.Fatal("subscriber received no configuration")
		}
	}
	w.lastA, w.lastB = a.revision, b.revision
	mustEqual(w.t, a, w.configs[a.revision])
	mustEqual(w.t, b, w.configs[b.revision])
}

// Guards against a watcher that returns to an older revision, or whose
// configuration differs from the accepted one of its revision, when it receives
// old root entries and old configurations of peers.
func TestWatcherNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWatcherTest(rt)
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

// concurrentEditors holds the outcomes of operators that make changes at the
// same time on a faulty store.
type concurrentEditors struct {
	memory   *storage.Memory
	clock    timers.Clock
	mu       sync.Mutex
	accepted map[string]order.Revision
	unknown  int
}

// edit makes the given number of changes and records their outcomes.
func (c *concurrentEditors) edit(ctx context.Context, changes int) error {
	editor := NewEditor(c.memory, c.clock)
	for range changes {
		change, err := editor.Edit(ctx, largeEdits)
		var conflict *ConflictError
		c.mu.Lock()
		switch {
		case err == nil:
			c.accepted[change.ID()] = change.Revision()
		case errors.Is(err, storage.ErrUncertain):
			c.unknown++
		case errors.As(err, &conflict), errors.Is(err, storage.ErrUnavailable):
		default:
			c.mu.Unlock()
			return err
		}
		c.mu.Unlock()
	}
	return nil
}

// randomFaults returns a source of faults, among them outages of several
// consecutive calls.
func randomFaults(seed uint64) func(storage.CallKind) storage.Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	down := 0
	return func(storage.CallKind) storage.Fault {
		if down > 0 {
			down--
			return storage.FaultUnavailable
		}
		switch random.IntN(20) {
		case 0:
			down = random.IntN(8)
			return storage.FaultUnavailable
		case 1, 2:
			return storage.FaultAnswerLost
		case 3:
			return storage.FaultRequestLost
		}
		return storage.FaultNone
	}
}

// Guards against an accepted change that is lost or applied twice when
// operators make changes at the same time during outages, and against a watcher
// that does not reach the last revision afterwards or leaks goroutines.
func TestConcurrentEditors(t *testing.T) {
	defer goleak.VerifyNone(t)
	for seed := range uint64(5) {
		runConcurrentEditors(t, seed)
	}
}

func runConcurrentEditors(t *testing.T, seed uint64) {
	is := is.New(t)
	clock := newInstantClock()
	memory := storage.NewMemory(clock)
	c := &concurrentEditors{memory: memory, clock: clock, accepted: make(map[string]order.Revision)}
	ctx, cancel := context.WithCancel(context.Background())
	watcher := NewWatcher(memory, timers.New())
	history := make(map[string]order.Revision)
	var running sync.WaitGroup
	running.Go(func() { _ = watcher.Run(ctx) })
	memory.SetFaults(randomFaults(seed))
	var operators sync.WaitGroup
	for range 6 {
		operators.Go(func() {
			if err := c.edit(ctx, 12); err != nil {
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

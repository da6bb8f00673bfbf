package sheet

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// instantClock is a clock whose waits advance it and end immediately.
type instantClock struct{ *timers.Manual }

func newInstantClock() instantClock {
	return instantClock{timers.NewManual(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))}
}

func (c instantClock) After(d time.Duration) <-chan time.Time {
	c.Advance(d)
	due := make(chan time.Time, 1)
	due <- c.Now()
	return due
}

// faultyStore draws a fault for each call. It can execute a write whose answer
// was lost at a later call, and make another operator's change before a write.
// It cancels the operator's context when callsLeft reaches zero.
type faultyStore struct {
	*storage.Memory
	t                *rapid.T
	delayedWrites    []func()
	concurrentChange func()
	callsLeft        int
	cancel           context.CancelFunc
}

func (s *faultyStore) Get(ctx context.Context, key string) (storage.Entry, error) {
	s.beforeCall()
	if rapid.IntRange(0, 9).Draw(s.t, "get") == 0 {
		return storage.Entry{}, storage.ErrUnavailable
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) Swap(ctx context.Context, key string, expected storage.Version, value []byte, lease storage.LeaseID) (storage.Version, error) {
	s.beforeCall()
	if ctx.Err() != nil {
		return 0, storage.ErrUnavailable
	}
	write := func() (storage.Version, error) {
		return s.Memory.Swap(context.Background(), key, expected, value, lease)
	}
	switch rapid.IntRange(0, 9).Draw(s.t, "swap") {
	case 0:
		return 0, storage.ErrUnavailable
	case 1:
		return 0, storage.ErrUncertain
	case 2:
		_, _ = write()
		return 0, storage.ErrUncertain
	case 3:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = write() })
		return 0, storage.ErrUncertain
	case 4:
		s.concurrentChange()
	}
	return write()
}

// beforeCall may execute the oldest delayed write, and counts the call.
func (s *faultyStore) beforeCall() {
	if len(s.delayedWrites) > 0 && rapid.Bool().Draw(s.t, "late") {
		s.delayedWrites[0]()
		s.delayedWrites = s.delayedWrites[1:]
	}
	s.callsLeft--
	if s.callsLeft == 0 {
		s.cancel()
	}
}

// editorRace is one randomized run of an editor on the faulty store and of
// other operators on its backing store. accepted, refused and unknown hold the
// outcomes that the operators received, history the IDs of the changes in
// order.
type editorRace struct {
	t        *rapid.T
	clock    instantClock
	backing  *storage.Memory
	store    *faultyStore
	accepted map[string]order.Revision
	history  []string
	refused  int
	unknown  int
}

// largeEdits returns edits that increase the limit of the team "counter" by
// one, so that the limit counts the changes. They are large enough to make
// compaction frequent.
func largeEdits(c *Config) ([]Edit, error) {
	counter, ok := c.Team("counter")
	if !ok {
		counter = NewTeam("counter", 1, 0)
	}
	domains := make([]order.DomainName, 20)
	for i := range domains {
		domains[i] = order.DomainName(fmt.Sprintf("%s%d", strings.Repeat("d", 40), i))
	}
	return []Edit{SetTeam(counter.WithLimit(counter.Limit() + 1).WithDomains(domains...))}, nil
}

// changeByOther makes a change of another operator without faults.
func (r *editorRace) changeByOther() {
	change, err := NewEditor(r.backing, r.clock, WithAuthor("other")).Edit(context.Background(), largeEdits)
	if err != nil {
		r.t.Fatalf("other operator: %v", err)
	}
	r.accepted[change.ID()] = change.Revision()
}

// change makes a change on the faulty store and records the reported outcome.
func (r *editorRace) change() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.store.cancel = cancel
	r.store.callsLeft = rapid.IntRange(5, 60).Draw(r.t, "patience")
	change, err := NewEditor(r.store, r.clock, WithAuthor("own")).Edit(ctx, largeEdits)
	var conflict *ConflictError
	switch {
	case err == nil:
		r.accepted[change.ID()] = change.Revision()
	case errors.As(err, &conflict):
		r.refused++
		if len(conflict.Changes()) == 0 {
			r.t.Fatalf("conflict does not show the other change: %v", err)
		}
	case errors.Is(err, storage.ErrUncertain):
		r.unknown++
	case errors.Is(err, storage.ErrUnavailable):
		r.refused++
	default:
		r.t.Fatalf("unexpected error %v", err)
	}
}

// readHistory appends the changes since the last call to the history. It runs
// after every step, because the store keeps a limited number of snapshots.
func (r *editorRace) readHistory() Base {
	ctx := context.Background()
	base, err := readBase(ctx, r.backing, NewConfig(0))
	if err != nil {
		r.t.Fatal(err)
	}
	changes, err := changesSince(ctx, r.backing, base.root, order.Revision(len(r.history)))
	if err != nil {
		r.t.Fatal(err)
	}
	for _, change := range changes {
		r.history = append(r.history, change.ID())
		if int(change.Revision()) != len(r.history) {
			r.t.Fatalf("revision %d follows revision %d", change.Revision(), len(r.history)-1)
		}
	}
	return base
}

// check compares the reported outcomes with the changes in the store.
func (r *editorRace) check() {
	for _, write := range r.store.delayedWrites {
		write()
	}
	base := r.readHistory()
	found := make(map[string]order.Revision)
	for i, id := range r.history {
		if _, twice := found[id]; twice {
			r.t.Fatalf("change %s applied twice", id)
		}
		found[id] = order.Revision(i + 1)
	}
	for id, revision := range r.accepted {
		if found[id] != revision {
			r.t.Fatalf("accepted change %s of revision %d lost, found %d", id, revision, found[id])
		}
	}
	if extra := len(found) - len(r.accepted); extra > r.unknown {
		r.t.Fatalf("%d refused changes were applied", extra-r.unknown)
	}
	counter, _ := base.config.Team("counter")
	if counter.Limit() != len(found) || int(base.config.Revision()) != len(found) {
		r.t.Fatalf("%d changes lead to limit %d, revision %d", len(found), counter.Limit(), base.config.Revision())
	}
}

// Guards against an accepted change that is lost, one that is applied twice,
// and one that is applied although it was reported as not recorded. Calls fail,
// answers are lost, writes are executed late and other operators make changes.
func TestEditorRace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := newInstantClock()
		memory := storage.NewMemory(clock)
		r := &editorRace{t: rt, clock: clock, backing: memory, accepted: make(map[string]order.Revision)}
		r.store = &faultyStore{Memory: memory, t: rt, concurrentChange: r.changeByOther}
		rt.Repeat(map[string]func(*rapid.T){
			"edit":  func(*rapid.T) { r.change() },
			"other": func(*rapid.T) { r.changeByOther() },
			"":      func(*rapid.T) { r.readHistory() },
		})
		r.check()
	})
}

// replayComparison compares the configurations of an editor and a watcher,
// which replay the stored changes, with one built by Config.Apply.
type replayComparison struct {
	t       *rapid.T
	editor  *Editor
	watcher *Watcher
	want    *Config
}

func (f *replayComparison) change() {
	ctx := context.Background()
	base, err := f.editor.Load(ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	mustEqual(f.t, base.Config(), f.want)
	edits := drawEdits(f.t)
	change, err := f.editor.Apply(ctx, base, edits...)
	if valid := f.want.Check(edits...) == nil; valid != (err == nil) {
		f.t.Fatalf("edits %v: %v", edits, err)
	}
	if err != nil {
		return
	}
	if f.want, err = f.want.Apply(change); err != nil {
		f.t.Fatal(err)
	}
}

// watch makes the watcher read the store once.
func (f *replayComparison) watch() {
	if _, err := f.watcher.load(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	mustEqual(f.t, f.watcher.Current(), f.want)
}

// Guards against a configuration replayed from a snapshot and stored changes
// that differs from the one that results from applying each change.
func TestReplayMatchesApply(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := newInstantClock()
		store := storage.NewMemory(clock)
		f := &replayComparison{
			t:       rt,
			editor:  NewEditor(store, clock),
			watcher: NewWatcher(store, clock),
			want:    NewConfig(0),
		}
		rt.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) { f.change() },
			"watch":  func(*rapid.T) { f.watch() },
		})
		f.watch()
	})
}

// drawEdits draws valid and invalid edits. The long domain name makes
// compaction frequent.
func drawEdits(rt *rapid.T) []Edit {
	team := order.TeamName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "team"))
	key := NewKey(HashKey(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(rt, "key")), team)
	domain := order.DomainName(rapid.SampledFrom([]string{"east", "west"}).Draw(rt, "domain"))
	long := order.DomainName(strings.Repeat("x", 60))
	all := []Edit{
		SetTeam(NewTeam(team, rapid.Float64Range(0, 3).Draw(rt, "share"), rapid.IntRange(-1, 9).Draw(rt, "limit"), long, domain)),
		RemoveTeam(team),
		AddKey(key),
		WithdrawKey(key),
		DeleteWithdrawnKey(key.Hash()),
		SetDomain(domain, rapid.Bool().Draw(rt, "open"), SourceOperator),
		SetDomain(domain, rapid.Bool().Draw(rt, "open"), SourceSheet),
	}
	return rapid.SliceOfN(rapid.SampledFrom(all), 1, 12).Draw(rt, "edits")
}

func mustEqual(rt *rapid.T, got, want *Config) {
	g, err := EncodeConfig(got)
	if err != nil {
		rt.Fatal(err)
	}
	w, err := EncodeConfig(want)
	if err != nil {
		rt.Fatal(err)
	}
	if string(g) != string(w) {
		rt.Fatalf("got %s, want %s", g, w)
	}
}

// Guards against a conflict that does not report the other operator's change,
// and against a change that is recorded in spite of the conflict.
func TestEditorConflict(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := newInstantClock()
	store := storage.NewMemory(clock)
	anna := NewEditor(store, clock, WithAuthor("anna"))
	ben := NewEditor(store, clock, WithAuthor("ben"))
	base, err := ben.Load(ctx)
	is.NoErr(err)
	_, err = anna.Edit(ctx, func(*Config) ([]Edit, error) {
		return []Edit{SetDomain("east", false, SourceOperator)}, nil
	})
	is.NoErr(err)
	_, err = ben.Apply(ctx, base, SetTeam(NewTeam("toys", 1, 4)))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(len(conflict.Changes()), 1)
	is.Equal(conflict.Changes()[0].Author(), "anna")
	is.True(strings.Contains(err.Error(), "take domain east out"))
	base, err = ben.Load(ctx)
	is.NoErr(err)
	_, ok := base.Config().Team("toys")
	is.True(!ok)
}

// Guards against a root record that grows without limit, and against old
// snapshots that are never deleted.
func TestEditorCompactsRoot(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := newInstantClock()
	store := storage.NewMemory(clock)
	editor := NewEditor(store, clock)
	for range 400 {
		_, err := editor.Edit(ctx, largeEdits)
		is.NoErr(err)
	}
	entry, err := store.Get(ctx, rootKey)
	is.NoErr(err)
	is.True(len(entry.Value()) <= compactionThreshold)
	snapshots, _, err := store.List(ctx, snapshotPrefix)
	is.NoErr(err)
	is.Equal(len(snapshots), keptSnapshots+1)
}

// Guards against a configuration so large that no key can be withdrawn and no
// domain closed, and against large changes whose history does not fit into a
// snapshot. Keys are added until the configuration is too large; withdrawing
// thousands of them must then still work.
func TestEditorConfigTooLarge(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := newInstantClock()
	store := storage.NewMemory(clock)
	editor := NewEditor(store, clock)
	apply := func(edits ...Edit) error {
		base, err := editor.Load(ctx)
		is.NoErr(err)
		_, err = editor.Apply(ctx, base, edits...)
		return err
	}
	is.NoErr(apply(SetTeam(NewTeam("toys", 1, 1))))
	keys := make([]Key, 0, 8000)
	var err error
	for err == nil {
		var edits []Edit
		for range 500 {
			key := NewKey(HashKey(fmt.Sprint(len(keys))), "toys")
			keys = append(keys, key)
			edits = append(edits, AddKey(key))
		}
		err = apply(edits...)
	}
	is.True(errors.Is(err, ErrConfigTooLarge))
	given := keys[:len(keys)-500]
	is.True(len(given) > 5000)
	is.NoErr(apply(SetDomain("east", false, SourceOperator)))
	var withdrawals []Edit
	for _, key := range given {
		withdrawals = append(withdrawals, WithdrawKey(key))
	}
	is.NoErr(apply(withdrawals[:3000]...))
	is.NoErr(apply(withdrawals[3000:]...))
	is.NoErr(apply(SetDomain("west", false, SourceOperator)))
	is.True(errors.Is(apply(AddKey(keys[len(keys)-1])), ErrConfigTooLarge))
	for _, key := range given[:2000] {
		withdrawals = append(withdrawals, DeleteWithdrawnKey(key.Hash()))
	}
	is.NoErr(apply(withdrawals[len(given):]...))
	is.NoErr(apply(AddKey(keys[len(keys)-1])))
	base, err := editor.Load(ctx)
	is.NoErr(err)
	is.Equal(len(base.Config().Keys()), len(given)-2000+1)
	is.True(!base.Config().DomainOpen("east"))
}

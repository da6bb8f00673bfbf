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

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/tide"
)

// instantClock moves on by each wait at once.
type instantClock struct{ *tide.Manual }

func newInstantClock() instantClock {
	return instantClock{tide.NewManual(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))}
}

func (c instantClock) After(d time.Duration) <-chan time.Time {
	c.Advance(d)
	due := make(chan time.Time, 1)
	due <- c.Now()
	return due
}

// faultyStore draws the fault of each call. It can execute a lost write at a
// later call, and let another operator's change in between.
type faultyStore struct {
	*depot.Memory
	t        *rapid.T
	late     []func()
	between  func()
	patience int
	giveUp   context.CancelFunc
}

func (s *faultyStore) Get(ctx context.Context, key string) (depot.Entry, error) {
	s.step()
	if rapid.IntRange(0, 9).Draw(s.t, "get") == 0 {
		return depot.Entry{}, depot.ErrUnavailable
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) Swap(ctx context.Context, key string, expected depot.Version, value []byte, lease depot.LeaseID) (depot.Version, error) {
	s.step()
	if ctx.Err() != nil {
		return 0, depot.ErrUnavailable
	}
	write := func() (depot.Version, error) {
		return s.Memory.Swap(context.Background(), key, expected, value, lease)
	}
	switch rapid.IntRange(0, 9).Draw(s.t, "swap") {
	case 0:
		return 0, depot.ErrUnavailable
	case 1:
		return 0, depot.ErrUncertain
	case 2:
		_, _ = write()
		return 0, depot.ErrUncertain
	case 3:
		s.late = append(s.late, func() { _, _ = write() })
		return 0, depot.ErrUncertain
	case 4:
		s.between()
	}
	return write()
}

// step executes due late writes and counts down the operator's patience.
func (s *faultyStore) step() {
	if len(s.late) > 0 && rapid.Bool().Draw(s.t, "late") {
		s.late[0]()
		s.late = s.late[1:]
	}
	s.patience--
	if s.patience == 0 {
		s.giveUp()
	}
}

// race is one randomised run with the outcomes that the operators were told.
type race struct {
	t        *rapid.T
	clock    instantClock
	memory   *depot.Memory
	store    *faultyStore
	accepted map[string]order.Revision
	history  []string
	refused  int
	unknown  int
}

// wide returns edits that are large enough to make folds frequent, and raise
// the counter team's limit by one.
func wide(c *Config) ([]Edit, error) {
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

// other makes a change of another operator on the store without faults.
func (r *race) other() {
	change, err := NewEditor(r.memory, r.clock, WithAuthor("other")).Edit(context.Background(), wide)
	if err != nil {
		r.t.Fatalf("other operator: %v", err)
	}
	r.accepted[change.ID()] = change.Revision()
}

func (r *race) edit() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.store.giveUp = cancel
	r.store.patience = rapid.IntRange(5, 60).Draw(r.t, "patience")
	change, err := NewEditor(r.store, r.clock, WithAuthor("own")).Edit(ctx, wide)
	var conflict *ConflictError
	switch {
	case err == nil:
		r.accepted[change.ID()] = change.Revision()
	case errors.As(err, &conflict):
		r.refused++
		if len(conflict.Changes()) == 0 {
			r.t.Fatalf("conflict does not show the other change: %v", err)
		}
	case errors.Is(err, depot.ErrUncertain):
		r.unknown++
	case errors.Is(err, depot.ErrUnavailable):
		r.refused++
	default:
		r.t.Fatalf("unexpected error %v", err)
	}
}

// observe collects the changes since the last look, because the store keeps
// them for a limited number of snapshots only.
func (r *race) observe() Base {
	ctx := context.Background()
	base, err := readBase(ctx, r.memory, NewConfig(0))
	if err != nil {
		r.t.Fatal(err)
	}
	changes, err := changesSince(ctx, r.memory, base.root, order.Revision(len(r.history)))
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

func (r *race) check() {
	for _, write := range r.store.late {
		write()
	}
	base := r.observe()
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
		r.t.Fatalf("%d changes that were refused are in force", extra-r.unknown)
	}
	counter, _ := base.config.Team("counter")
	if counter.Limit() != len(found) || int(base.config.Revision()) != len(found) {
		r.t.Fatalf("%d changes lead to limit %d, revision %d", len(found), counter.Limit(), base.config.Revision())
	}
}

// Guards against an accepted change that is lost, one that is applied twice,
// and one that is in force although its operator was told that it is not,
// when calls fail, answers are lost, writes arrive late and operators race.
func TestEditorsRace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := newInstantClock()
		memory := depot.NewMemory(clock)
		r := &race{t: rt, clock: clock, memory: memory, accepted: make(map[string]order.Revision)}
		r.store = &faultyStore{Memory: memory, t: rt, between: r.other}
		rt.Repeat(map[string]func(*rapid.T){
			"edit":  func(*rapid.T) { r.edit() },
			"other": func(*rapid.T) { r.other() },
			"":      func(*rapid.T) { r.observe() },
		})
		r.check()
	})
}

// folding compares the editor's configuration with one that is built change
// by change.
type folding struct {
	t       *rapid.T
	editor  *Editor
	watcher *Watcher
	want    *Config
}

func (f *folding) change() {
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

func (f *folding) watch() {
	if _, err := f.watcher.load(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	mustEqual(f.t, f.watcher.Current(), f.want)
}

// Guards against a fold of changes that differs from applying them one by
// one.
func TestFoldOfChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := newInstantClock()
		store := depot.NewMemory(clock)
		f := &folding{
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

func drawEdits(rt *rapid.T) []Edit {
	team := order.TeamName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "team"))
	key := NewKey(HashKey(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(rt, "key")), team)
	domain := order.DomainName(rapid.SampledFrom([]string{"east", "west"}).Draw(rt, "domain"))
	long := order.DomainName(strings.Repeat("x", 60))
	all := []Edit{
		SetTeam(NewTeam(team, rapid.Float64Range(0, 3).Draw(rt, "share"), rapid.IntRange(-1, 9).Draw(rt, "limit"), long, domain)),
		RemoveTeam(team),
		GiveKey(key),
		WithdrawKey(key),
		ForgetKey(key.Hash()),
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

// Guards against a conflict that does not tell the operator what the other
// one changed.
func TestEditorConflict(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := newInstantClock()
	store := depot.NewMemory(clock)
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

// Guards against a root record that grows without limit, and against
// snapshots that are never deleted.
func TestEditorFolds(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := newInstantClock()
	store := depot.NewMemory(clock)
	editor := NewEditor(store, clock)
	for range 400 {
		_, err := editor.Edit(ctx, wide)
		is.NoErr(err)
	}
	entry, err := store.Get(ctx, rootKey)
	is.NoErr(err)
	is.True(len(entry.Value()) <= foldAbove)
	snapshots, _, err := store.List(ctx, snapshotPrefix)
	is.NoErr(err)
	is.Equal(len(snapshots), keptSnapshots+1)
}

// Guards against a configuration that has grown so far that no key can be
// withdrawn and no domain taken out, and against a large sheet whose history
// does not fit into a snapshot.
func TestEditorFullConfiguration(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := newInstantClock()
	store := depot.NewMemory(clock)
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
			edits = append(edits, GiveKey(key))
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
	is.True(errors.Is(apply(GiveKey(keys[len(keys)-1])), ErrConfigTooLarge))
	for _, key := range given[:2000] {
		withdrawals = append(withdrawals, ForgetKey(key.Hash()))
	}
	is.NoErr(apply(withdrawals[len(given):]...))
	is.NoErr(apply(GiveKey(keys[len(keys)-1])))
	base, err := editor.Load(ctx)
	is.NoErr(err)
	is.Equal(len(base.Config().Keys()), len(given)-2000+1)
	is.True(!base.Config().DomainOpen("east"))
}

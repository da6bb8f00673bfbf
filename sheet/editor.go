package sheet

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Editor changes the configuration in the store by compare-and-swap.
	Editor struct {
		store  depot.Store
		clock  tide.Clock
		author string
		log    zerolog.Logger
	}

	// EditorOption changes an Editor when it is made.
	EditorOption func(*Editor)

	// ConflictError tells that other changes were accepted first. Nothing of
	// the own change was recorded.
	ConflictError struct {
		base    order.Revision
		changes []Change
	}
)

var (
	// ErrNoChange reports that there is nothing to change.
	ErrNoChange = errors.New("the configuration is already so")

	// ErrConfigTooLarge reports a configuration above the store's limit.
	ErrConfigTooLarge = errors.New("the configuration would be too large for the store; forget withdrawn keys first")
)

// WithAuthor sets the name under which changes are recorded.
func WithAuthor(author string) EditorOption {
	return func(e *Editor) { e.author = author }
}

// WithEditorLog sets the log.
func WithEditorLog(log zerolog.Logger) EditorOption {
	return func(e *Editor) { e.log = log }
}

// NewEditor returns an editor of the configuration in the store.
func NewEditor(store depot.Store, clock tide.Clock, opts ...EditorOption) *Editor {
	e := &Editor{store: store, clock: clock, author: "unknown", log: zerolog.Nop()}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Base returns the revision on which the own change was based.
func (e *ConflictError) Base() order.Revision { return e.base }

// Changes returns the changes that were accepted since the base, as far as
// the store still has them.
func (e *ConflictError) Changes() []Change { return e.changes }

// Error implements error.
func (e *ConflictError) Error() string {
	lines := make([]string, 0, len(e.changes))
	for _, change := range e.changes {
		lines = append(lines, change.String())
	}
	return fmt.Sprintf("the configuration changed since revision %d: %s", e.base, strings.Join(lines, " | "))
}

// Load reads the configuration. It repeats an unavailable call with backoff
// until the context ends.
func (e *Editor) Load(ctx context.Context) (Base, error) {
	p := newPause(e.clock)
	for {
		base, err := readBase(ctx, e.store, NewConfig(0))
		if !errors.Is(err, depot.ErrUnavailable) {
			return base, err
		}
		if p.wait(ctx) != nil {
			return Base{}, err
		}
	}
}

// Edit loads the configuration and applies the edits that the function
// chooses for it.
func (e *Editor) Edit(ctx context.Context, choose func(*Config) ([]Edit, error)) (Change, error) {
	base, err := e.Load(ctx)
	if err != nil {
		return Change{}, err
	}
	edits, err := choose(base.config)
	if err != nil {
		return Change{}, err
	}
	return e.Apply(ctx, base, edits...)
}

// Apply makes the edits as one change to the base and returns it when it is
// recorded. ConflictError tells that another change came first. An
// unavailable or uncertain call is repeated with backoff until the context
// ends; an error that is depot.ErrUncertain then tells that the change may
// have been recorded, and any other error that it was not.
func (e *Editor) Apply(ctx context.Context, base Base, edits ...Edit) (Change, error) {
	if len(edits) == 0 {
		return Change{}, ErrNoChange
	}
	if err := base.config.Check(edits...); err != nil {
		return Change{}, err
	}
	if err := checkSize(base.config, edits); err != nil {
		return Change{}, err
	}
	change := Change{
		id:       ulid.Make().String(),
		revision: base.config.revision + 1,
		author:   e.author,
		at:       e.clock.Now().UTC(),
		edits:    edits,
	}
	next, dropped, err := e.prepare(ctx, base, change)
	if err != nil {
		return Change{}, err
	}
	if err := e.record(ctx, base, change, next); err != nil {
		return Change{}, err
	}
	e.drop(ctx, dropped)
	return change, nil
}

// checkSize refuses edits that add to a configuration which is too large.
// Withdrawing keys and taking domains out stays possible; what this adds is
// bounded by the number of keys and domains and fits above maxConfig.
func checkSize(c *Config, edits []Edit) error {
	n := c.copy()
	for _, edit := range edits {
		edit.apply(n)
	}
	before, err := EncodeConfig(c)
	if err != nil {
		return err
	}
	after, err := EncodeConfig(n)
	if err != nil {
		return err
	}
	if len(after) > maxConfig && len(after) > len(before) && !c.urgent(edits) {
		return ErrConfigTooLarge
	}
	return nil
}

// urgent reports whether the edits only withdraw known keys and change
// domains.
func (c *Config) urgent(edits []Edit) bool {
	for _, edit := range edits {
		switch e := edit.(type) {
		case keyEdit:
			if _, ok := c.keys[e.key.hash]; !ok || !e.key.withdrawn {
				return false
			}
		case domainEdit:
		default:
			return false
		}
	}
	return true
}

// prepare returns the root record with the change, and the snapshots that it
// no longer names. If the changes have become too large, it first writes them
// to a snapshot of the base's revision. The content of that snapshot is the
// same for every editor, so it does not matter who writes it.
func (e *Editor) prepare(ctx context.Context, base Base, change Change) ([]byte, []order.Revision, error) {
	next := base.root.with(change)
	data, err := next.encode()
	if err != nil {
		return nil, nil, err
	}
	var dropped []order.Revision
	if len(data) > foldAbove && len(base.root.changes) > 0 {
		if err := e.writeSnapshot(ctx, base); err != nil {
			return nil, nil, err
		}
		next, dropped = base.root.folded()
		if data, err = next.with(change).encode(); err != nil {
			return nil, nil, err
		}
	}
	if len(data) > depot.MaxValue {
		return nil, nil, ErrConfigTooLarge
	}
	return data, dropped, nil
}

func (e *Editor) writeSnapshot(ctx context.Context, base Base) error {
	data, err := snapshot{config: base.config, changes: base.root.changes}.encode()
	if err != nil {
		return err
	}
	if len(data) > depot.MaxValue {
		return ErrConfigTooLarge
	}
	p := newPause(e.clock)
	for {
		_, err := e.store.Swap(ctx, snapshotKey(base.config.revision), 0, data, 0)
		if err == nil || errors.Is(err, depot.ErrConflict) {
			return nil
		}
		if p.wait(ctx) != nil {
			// Only the root record makes a change, so nothing is uncertain.
			return fmt.Errorf("write snapshot: %w: %w", depot.ErrUnavailable, ctx.Err())
		}
	}
}

// record swaps the root record. After an uncertain call it repeats the swap
// from the same version: a late execution of the first call and the second
// one cannot both succeed, and a conflict shows which change won.
func (e *Editor) record(ctx context.Context, base Base, change Change, data []byte) error {
	p := newPause(e.clock)
	uncertain := false
	for {
		_, err := e.store.Swap(ctx, rootKey, base.version, data, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, depot.ErrConflict):
			return e.resolve(ctx, base, change, uncertain)
		case errors.Is(err, depot.ErrUncertain):
			uncertain = true
		case !errors.Is(err, depot.ErrUnavailable):
			return fmt.Errorf("write root record: %w", err)
		}
		if p.wait(ctx) != nil {
			return unresolved(uncertain, ctx.Err())
		}
	}
}

// resolve reads which change followed the base.
func (e *Editor) resolve(ctx context.Context, base Base, change Change, uncertain bool) error {
	p := newPause(e.clock)
	for {
		changes, err := e.since(ctx, base.config.revision)
		if err == nil {
			return judge(base, change, changes, uncertain)
		}
		if errors.Is(err, ErrDamaged) || p.wait(ctx) != nil {
			return unresolved(uncertain, err)
		}
	}
}

func (e *Editor) since(ctx context.Context, revision order.Revision) ([]Change, error) {
	entry, err := e.store.Get(ctx, rootKey)
	if err != nil {
		return nil, err
	}
	r, err := decodeRoot(entry.Value())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return changesSince(ctx, e.store, r, revision)
}

// judge tells whether the own change is the one that followed the base.
func judge(base Base, change Change, changes []Change, uncertain bool) error {
	known := len(changes) > 0 && changes[0].revision == change.revision
	switch {
	case known && changes[0].id == change.id:
		return nil
	case !known && uncertain:
		return unresolved(true, errors.New("the store no longer has the changes of that time"))
	}
	return &ConflictError{base: base.config.revision, changes: changes}
}

// unresolved hides the class of the cause, which may be an unavailable read,
// behind that of the change.
func unresolved(uncertain bool, cause error) error {
	if uncertain {
		return fmt.Errorf("the change may have been recorded: %w: %v", depot.ErrUncertain, cause)
	}
	return fmt.Errorf("the change was not recorded: %w: %v", depot.ErrUnavailable, cause)
}

// drop deletes snapshots that the root record no longer names. A failure
// leaves one value behind and harms nothing else.
func (e *Editor) drop(ctx context.Context, revisions []order.Revision) {
	for _, revision := range revisions {
		entry, err := e.store.Get(ctx, snapshotKey(revision))
		if err == nil && entry.Exists() {
			err = e.store.Delete(ctx, entry.Key(), entry.Version())
		}
		if err != nil {
			e.log.Warn().Err(err).Uint64("revision", uint64(revision)).Msg("sheet: old snapshot not deleted")
		}
	}
}

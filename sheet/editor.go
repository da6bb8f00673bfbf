package sheet

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// Editor changes the configuration in the store by compare-and-swap, for
	// operators. Several editors may run at the same time.
	Editor struct {
		store  storage.Store
		clock  timers.Clock
		author string
		log    zerolog.Logger
	}

	// EditorOption changes one setting in NewEditor.
	EditorOption func(*Editor)

	// ConflictError reports that other changes were accepted after the base of
	// a change was read. Nothing of the change was recorded.
	ConflictError struct {
		base    order.Revision
		changes []Change
	}
)

var (
	// ErrNoChange reports a change without edits.
	ErrNoChange = errors.New("the configuration already has this content")

	// ErrConfigTooLarge reports a change that was rejected because the
	// configuration would exceed maxConfigBytes or the store's value limit.
	ErrConfigTooLarge = errors.New("the configuration would be too large for the store; forget withdrawn keys first")
)

// WithAuthor sets the author recorded with each change; the default is
// "unknown".
func WithAuthor(author string) EditorOption {
	return func(e *Editor) { e.author = author }
}

// WithEditorLog sets the log; by default nothing is logged.
func WithEditorLog(log zerolog.Logger) EditorOption {
	return func(e *Editor) { e.log = log }
}

// NewEditor returns an editor. It does not access the store yet.
func NewEditor(store storage.Store, clock timers.Clock, opts ...EditorOption) *Editor {
	e := &Editor{store: store, clock: clock, author: "unknown", log: zerolog.Nop()}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Base returns the revision on which the rejected change was based.
func (e *ConflictError) Base() order.Revision { return e.base }

// Changes returns the changes accepted since the base, oldest first. Those that
// the store no longer has are missing.
func (e *ConflictError) Changes() []Change { return e.changes }

// Error implements error.
func (e *ConflictError) Error() string {
	lines := make([]string, 0, len(e.changes))
	for _, change := range e.changes {
		lines = append(lines, change.String())
	}
	return fmt.Sprintf("the configuration changed since revision %d: %s", e.base, strings.Join(lines, " | "))
}

// Load reads the configuration from the store. While the store is unavailable,
// it retries with backoff until the context ends.
func (e *Editor) Load(ctx context.Context) (Base, error) {
	retry := newRetryBackoff(e.clock)
	for {
		base, err := readBase(ctx, e.store, NewConfig(0))
		if !errors.Is(err, storage.ErrUnavailable) {
			return base, err
		}
		if retry.wait(ctx) != nil {
			return Base{}, err
		}
	}
}

// Edit loads the configuration and applies the edits that the function returns
// for it. Its errors are those of Load, of the function and of Apply.
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

// Apply records the edits as one change to the base. It returns a
// *ConflictError if another change was recorded first. An unavailable or
// uncertain call of the store is retried with backoff until the context ends.
// If the error is storage.ErrUncertain, the change may have been recorded;
// after any other error it was not.
func (e *Editor) Apply(ctx context.Context, base Base, edits ...Edit) (Change, error) {
	if len(edits) == 0 {
		return Change{}, ErrNoChange
	}
	if err := base.config.Check(edits...); err != nil {
		return Change{}, err
	}
	if err := checkConfigSize(base.config, edits); err != nil {
		return Change{}, err
	}
	change := Change{
		id:       ulid.Make().String(),
		revision: base.config.revision + 1,
		author:   e.author,
		at:       e.clock.Now().UTC(),
		edits:    edits,
	}
	next, obsolete, err := e.prepareRoot(ctx, base, change)
	if err != nil {
		return Change{}, err
	}
	if err := e.writeRoot(ctx, base, change, next); err != nil {
		return Change{}, err
	}
	e.deleteSnapshots(ctx, obsolete)
	return change, nil
}

// checkConfigSize rejects edits that enlarge a configuration above the limit.
// Withdrawing keys and closing domains stays possible: what this adds is
// bounded by the number of keys and domains and fits above maxConfigBytes.
func checkConfigSize(c *Config, edits []Edit) error {
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
	if len(after) > maxConfigBytes && len(after) > len(before) && !c.alwaysAllowed(edits) {
		return ErrConfigTooLarge
	}
	return nil
}

// alwaysAllowed reports whether the edits only withdraw existing keys and open
// or close domains, which is possible at any size of the configuration.
func (c *Config) alwaysAllowed(edits []Edit) bool {
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

// prepareRoot returns the encoded root record with the change, and the
// snapshots that it no longer refers to. If the record is above
// compactionThreshold, it first writes a snapshot of the base and removes the
// base's changes from the record. The content of that snapshot is the same for
// every editor, so it does not matter which one writes it.
func (e *Editor) prepareRoot(ctx context.Context, base Base, change Change) ([]byte, []order.Revision, error) {
	next := base.root.withChange(change)
	data, err := next.encode()
	if err != nil {
		return nil, nil, err
	}
	var obsolete []order.Revision
	if len(data) > compactionThreshold && len(base.root.changes) > 0 {
		if err := e.writeSnapshot(ctx, base); err != nil {
			return nil, nil, err
		}
		next, obsolete = base.root.compacted()
		if data, err = next.withChange(change).encode(); err != nil {
			return nil, nil, err
		}
	}
	if len(data) > storage.MaxValue {
		return nil, nil, ErrConfigTooLarge
	}
	return data, obsolete, nil
}

// writeSnapshot writes the base as a snapshot of its revision. A conflict means
// that the snapshot exists already.
func (e *Editor) writeSnapshot(ctx context.Context, base Base) error {
	data, err := snapshot{config: base.config, changes: base.root.changes}.encode()
	if err != nil {
		return err
	}
	if len(data) > storage.MaxValue {
		return ErrConfigTooLarge
	}
	retry := newRetryBackoff(e.clock)
	for {
		_, err := e.store.Swap(ctx, snapshotKey(base.config.revision), 0, data, 0)
		if err == nil || errors.Is(err, storage.ErrConflict) {
			return nil
		}
		if retry.wait(ctx) != nil {
			// Only writing the root record makes the change, so the change
			// is certainly not recorded.
			return fmt.Errorf("write snapshot: %w: %w", storage.ErrUnavailable, ctx.Err())
		}
	}
}

// writeRoot swaps the root record. After an uncertain call it retries the swap
// from the same version: the first call, if it is executed late, and the second
// one cannot both succeed. After a conflict resolve checks which change was
// recorded.
func (e *Editor) writeRoot(ctx context.Context, base Base, change Change, data []byte) error {
	retry := newRetryBackoff(e.clock)
	uncertain := false
	for {
		_, err := e.store.Swap(ctx, rootKey, base.version, data, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, storage.ErrConflict):
			return e.resolve(ctx, base, change, uncertain)
		case errors.Is(err, storage.ErrUncertain):
			uncertain = true
		case !errors.Is(err, storage.ErrUnavailable):
			return fmt.Errorf("write root record: %w", err)
		}
		if retry.wait(ctx) != nil {
			return outcomeError(uncertain, ctx.Err())
		}
	}
}

// resolve handles a conflict on the root record. It reads the changes after the
// base, one of which may be the change itself after an uncertain call.
func (e *Editor) resolve(ctx context.Context, base Base, change Change, uncertain bool) error {
	retry := newRetryBackoff(e.clock)
	for {
		changes, err := e.changesAfter(ctx, base.config.revision)
		if err == nil {
			return checkApplied(base, change, changes, uncertain)
		}
		if errors.Is(err, ErrCorrupt) || retry.wait(ctx) != nil {
			return outcomeError(uncertain, err)
		}
	}
}

// changesAfter returns the changes in the store after the revision.
func (e *Editor) changesAfter(ctx context.Context, revision order.Revision) ([]Change, error) {
	entry, err := e.store.Get(ctx, rootKey)
	if err != nil {
		return nil, err
	}
	r, err := decodeRoot(entry.Value())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return changesSince(ctx, e.store, r, revision)
}

// checkApplied returns nil if the change is the one that directly followed the
// base, and a *ConflictError if it is another one.
func checkApplied(base Base, change Change, changes []Change, uncertain bool) error {
	found := len(changes) > 0 && changes[0].revision == change.revision
	switch {
	case found && changes[0].id == change.id:
		return nil
	case !found && uncertain:
		return outcomeError(true, errors.New("the store no longer has the changes of that revision"))
	}
	return &ConflictError{base: base.config.revision, changes: changes}
}

// outcomeError returns the error of a change with an unknown or failed outcome.
// Its class is that of the change; the cause, which may be an unavailable read,
// is only part of the text.
func outcomeError(uncertain bool, cause error) error {
	if uncertain {
		return fmt.Errorf("the change may have been recorded: %w: %v", storage.ErrUncertain, cause)
	}
	return fmt.Errorf("the change was not recorded: %w: %v", storage.ErrUnavailable, cause)
}

// deleteSnapshots deletes snapshots that the root record no longer refers to. A
// failure only leaves one unused value in the store.
func (e *Editor) deleteSnapshots(ctx context.Context, revisions []order.Revision) {
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

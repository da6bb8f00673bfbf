package sheet

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"chervilhollow/order"
)

type (
	// Change is one accepted change of the configuration: the step from the
	// revision before it to its own.
	Change struct {
		id       string
		revision order.Revision
		author   string
		at       time.Time
		edits    []Edit
		omitted  int
	}

	// root is the record that names the current revision: a snapshot and the
	// changes since.
	root struct {
		revision order.Revision
		snapshot order.Revision
		older    []order.Revision
		changes  []Change
	}

	// snapshot is a whole configuration, with the changes that were folded
	// into it since the snapshot before.
	snapshot struct {
		config  *Config
		changes []Change
	}

	changeDocument struct {
		ID       string         `json:"id"`
		Revision order.Revision `json:"revision"`
		Author   string         `json:"author,omitempty"`
		At       time.Time      `json:"at"`
		Edits    []editDocument `json:"edits"`
		Omitted  int            `json:"omitted,omitempty"`
	}

	rootDocument struct {
		Revision order.Revision   `json:"revision"`
		Snapshot order.Revision   `json:"snapshot"`
		Older    []order.Revision `json:"older,omitempty"`
		Changes  []changeDocument `json:"changes"`
	}

	snapshotDocument struct {
		Config  configDocument   `json:"config"`
		Changes []changeDocument `json:"changes"`
	}
)

const (
	rootKey        = "config/root"
	snapshotPrefix = "config/snapshot/"

	// foldAbove is the size of the changes in the root record, in bytes,
	// above which they are folded into a snapshot. It bounds what each watcher
	// receives per change.
	foldAbove = 8 << 10

	// maxConfig is the size of a configuration, in bytes, above which it may
	// not grow. A snapshot of it then fits into a value together with the
	// changes, so that a change that does not add to it is always possible.
	maxConfig = 768 << 10

	// maxHistoryEdits is the size of a change's edits, in bytes, above which
	// a snapshot's history only tells their number.
	maxHistoryEdits = 4 << 10

	// keptSnapshots older snapshots remain, so that an operator whose answer
	// was lost can still find the change.
	keptSnapshots = 16
)

// NewChange returns a change that makes the revision.
func NewChange(id string, revision order.Revision, edits ...Edit) Change {
	return Change{id: id, revision: revision, edits: edits}
}

// ID returns the unique identifier of the change.
func (c Change) ID() string { return c.id }

// Revision returns the revision that the change made.
func (c Change) Revision() order.Revision { return c.revision }

// Author returns who made the change.
func (c Change) Author() string { return c.author }

// At returns when the change was made, by the clock of its author.
func (c Change) At() time.Time { return c.at }

// Edits returns the steps of the change. The history omits those of a large
// change, such as a daily sheet.
func (c Change) Edits() []Edit { return c.edits }

// String implements fmt.Stringer.
func (c Change) String() string {
	texts := make([]string, 0, len(c.edits))
	for _, edit := range c.edits {
		texts = append(texts, edit.String())
	}
	if c.omitted > 0 {
		texts = append(texts, fmt.Sprintf("%d edits, such as of a daily sheet", c.omitted))
	}
	return fmt.Sprintf("revision %d by %s at %s: %s", c.revision, c.author,
		c.at.UTC().Format(time.RFC3339), strings.Join(texts, "; "))
}

// Apply returns the configuration after an accepted change, which must follow
// it directly. It repeats no check: a process with other rules than those of
// the editor must come to the same configuration.
func (c *Config) Apply(change Change) (*Config, error) {
	if change.revision != c.revision+1 {
		return nil, fmt.Errorf("change of revision %d does not follow revision %d", change.revision, c.revision)
	}
	n := c.copy()
	n.revision = change.revision
	for _, edit := range change.edits {
		edit.apply(n)
	}
	return n, nil
}

// Check reports why the edits cannot be made, one after the other.
func (c *Config) Check(edits ...Edit) error {
	n := c.copy()
	for _, edit := range edits {
		if err := edit.check(n); err != nil {
			return err
		}
		edit.apply(n)
	}
	return nil
}

func snapshotKey(revision order.Revision) string {
	return fmt.Sprintf("%s%d", snapshotPrefix, revision)
}

// fold returns the configuration of the root, built on one that is at least
// as new as the root's snapshot.
func (r root) fold(base *Config) (*Config, error) {
	c := base
	for _, change := range r.changes {
		if change.revision <= c.revision {
			continue
		}
		next, err := c.Apply(change)
		if err != nil {
			return nil, fmt.Errorf("fold change %s: %w", change.id, err)
		}
		c = next
	}
	if c.revision != r.revision {
		return nil, fmt.Errorf("changes lead to revision %d, root record names %d", c.revision, r.revision)
	}
	return c, nil
}

// folded returns the root with all changes moved into a snapshot of its
// revision, and the snapshots that are no longer needed.
func (r root) folded() (root, []order.Revision) {
	n := root{revision: r.revision, snapshot: r.revision}
	n.older = append(n.older, r.older...)
	if r.snapshot != 0 {
		n.older = append(n.older, r.snapshot)
	}
	excess := max(len(n.older)-keptSnapshots, 0)
	dropped := n.older[:excess]
	n.older = n.older[excess:]
	return n, dropped
}

// with returns the root with the change added.
func (r root) with(change Change) root {
	r.revision = change.revision
	r.changes = append(append([]Change(nil), r.changes...), change)
	return r
}

func (r root) encode() ([]byte, error) {
	return json.Marshal(rootDocument{
		Revision: r.revision,
		Snapshot: r.snapshot,
		Older:    r.older,
		Changes:  changeDocuments(r.changes),
	})
}

func decodeRoot(data []byte) (root, error) {
	var d rootDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return root{}, fmt.Errorf("decode root record: %w", err)
	}
	changes, err := readChanges(d.Changes)
	if err != nil {
		return root{}, fmt.Errorf("decode root record: %w", err)
	}
	return root{revision: d.Revision, snapshot: d.Snapshot, older: d.Older, changes: changes}, nil
}

func (s snapshot) encode() ([]byte, error) {
	changes, err := historyDocuments(s.changes)
	if err != nil {
		return nil, err
	}
	return json.Marshal(snapshotDocument{Config: s.config.document(), Changes: changes})
}

// historyDocuments returns the changes without the edits of large ones.
func historyDocuments(changes []Change) ([]changeDocument, error) {
	documents := changeDocuments(changes)
	for i := range documents {
		data, err := json.Marshal(documents[i].Edits)
		if err != nil {
			return nil, err
		}
		if len(data) > maxHistoryEdits {
			documents[i].Omitted = len(documents[i].Edits)
			documents[i].Edits = nil
		}
	}
	return documents, nil
}

func decodeSnapshot(data []byte) (snapshot, error) {
	var d snapshotDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	changes, err := readChanges(d.Changes)
	if err != nil {
		return snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return snapshot{config: d.Config.config(), changes: changes}, nil
}

func changeDocuments(changes []Change) []changeDocument {
	documents := make([]changeDocument, 0, len(changes))
	for _, c := range changes {
		d := changeDocument{ID: c.id, Revision: c.revision, Author: c.author, At: c.at, Omitted: c.omitted}
		for _, edit := range c.edits {
			d.Edits = append(d.Edits, edit.document())
		}
		documents = append(documents, d)
	}
	return documents
}

func readChanges(documents []changeDocument) ([]Change, error) {
	changes := make([]Change, 0, len(documents))
	for _, d := range documents {
		c := Change{id: d.ID, revision: d.Revision, author: d.Author, at: d.At, omitted: d.Omitted}
		for _, document := range d.Edits {
			edit, err := document.edit()
			if err != nil {
				return nil, fmt.Errorf("change %s: %w", d.ID, err)
			}
			c.edits = append(c.edits, edit)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

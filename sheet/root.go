package sheet

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"chervilhollow/order"
)

type (
	// Change is one accepted change of the configuration, which leads from the
	// previous revision to its own.
	Change struct {
		id       string
		revision order.Revision
		author   string
		at       time.Time
		edits    []Edit
		omitted  int
	}

	// rootRecord is the value of rootKey, which defines the current
	// revision: the revision of a snapshot and the changes since. A snapshot
	// revision of zero is the empty configuration. olderSnapshots are kept for
	// the history.
	rootRecord struct {
		revision       order.Revision
		snapshot       order.Revision
		olderSnapshots []order.Revision
		changes        []Change
	}

	// snapshot is a complete configuration and the changes since the previous
	// snapshot, which are kept as history.
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

	// compactionThreshold is the size of the root record, in bytes, above which
	// its changes are moved into a snapshot. It bounds what each watcher
	// receives per change.
	compactionThreshold = 8 << 10

	// maxConfigBytes is the size of an encoded configuration, in bytes, above
	// which it may not grow. Its snapshot then fits into one value of the
	// store together with the changes, so that a change that does not enlarge
	// it is always possible.
	maxConfigBytes = 768 << 10

	// maxHistoryEditBytes is the size of a change's edits, in bytes, above
	// which the history in a snapshot only holds their number.
	maxHistoryEditBytes = 4 << 10

	// keptSnapshots is how many older snapshots are kept, so that an operator
	// whose answer was lost can still check whether the change was recorded.
	keptSnapshots = 16
)

// NewChange returns a change without an author and a time. Tests use it.
func NewChange(id string, revision order.Revision, edits ...Edit) Change {
	return Change{id: id, revision: revision, edits: edits}
}

// ID returns the unique identifier, by which an editor recognizes its own
// change.
func (c Change) ID() string { return c.id }

// Revision returns the revision after the change.
func (c Change) Revision() order.Revision { return c.revision }

// Author returns the name set by WithAuthor.
func (c Change) Author() string { return c.author }

// At returns when the change was made, by the clock of its author.
func (c Change) At() time.Time { return c.at }

// Edits returns the steps of the change. It is empty for a large change, such
// as an import of a daily sheet, that is read from the history.
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

// Apply returns the configuration after an accepted change, whose revision must
// be the next one. It does not check the edits, because a process whose version
// has other rules than the editor's must build the same configuration.
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

// Check returns an error if the edits cannot be applied in their order.
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

// replay applies the changes of the record to a configuration that is at least
// as new as its snapshot, and returns the configuration of the record.
func (r rootRecord) replay(base *Config) (*Config, error) {
	c := base
	for _, change := range r.changes {
		if change.revision <= c.revision {
			continue
		}
		next, err := c.Apply(change)
		if err != nil {
			return nil, fmt.Errorf("apply change %s: %w", change.id, err)
		}
		c = next
	}
	if c.revision != r.revision {
		return nil, fmt.Errorf("changes lead to revision %d, root record has revision %d", c.revision, r.revision)
	}
	return c, nil
}

// compacted returns the record without changes, for which a snapshot of its
// revision must exist, and the snapshots that are no longer kept.
func (r rootRecord) compacted() (rootRecord, []order.Revision) {
	n := rootRecord{revision: r.revision, snapshot: r.revision}
	n.olderSnapshots = append(n.olderSnapshots, r.olderSnapshots...)
	if r.snapshot != 0 {
		n.olderSnapshots = append(n.olderSnapshots, r.snapshot)
	}
	excess := max(len(n.olderSnapshots)-keptSnapshots, 0)
	obsolete := n.olderSnapshots[:excess]
	n.olderSnapshots = n.olderSnapshots[excess:]
	return n, obsolete
}

// withChange returns the record after the change.
func (r rootRecord) withChange(change Change) rootRecord {
	r.revision = change.revision
	r.changes = append(append([]Change(nil), r.changes...), change)
	return r
}

func (r rootRecord) encode() ([]byte, error) {
	return json.Marshal(rootDocument{
		Revision: r.revision,
		Snapshot: r.snapshot,
		Older:    r.olderSnapshots,
		Changes:  changeDocuments(r.changes),
	})
}

func decodeRoot(data []byte) (rootRecord, error) {
	var d rootDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return rootRecord{}, fmt.Errorf("decode root record: %w", err)
	}
	changes, err := decodeChanges(d.Changes)
	if err != nil {
		return rootRecord{}, fmt.Errorf("decode root record: %w", err)
	}
	return rootRecord{revision: d.Revision, snapshot: d.Snapshot, olderSnapshots: d.Older, changes: changes}, nil
}

func (s snapshot) encode() ([]byte, error) {
	changes, err := historyChangeDocuments(s.changes)
	if err != nil {
		return nil, err
	}
	return json.Marshal(snapshotDocument{Config: s.config.document(), Changes: changes})
}

// historyChangeDocuments replaces the edits of large changes by their number.
func historyChangeDocuments(changes []Change) ([]changeDocument, error) {
	documents := changeDocuments(changes)
	for i := range documents {
		data, err := json.Marshal(documents[i].Edits)
		if err != nil {
			return nil, err
		}
		if len(data) > maxHistoryEditBytes {
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
	changes, err := decodeChanges(d.Changes)
	if err != nil {
		return snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return snapshot{config: d.Config.toConfig(), changes: changes}, nil
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

func decodeChanges(documents []changeDocument) ([]Change, error) {
	changes := make([]Change, 0, len(documents))
	for _, d := range documents {
		c := Change{id: d.ID, revision: d.Revision, author: d.Author, at: d.At, omitted: d.Omitted}
		for _, document := range d.Edits {
			edit, err := document.toEdit()
			if err != nil {
				return nil, fmt.Errorf("change %s: %w", d.ID, err)
			}
			c.edits = append(c.edits, edit)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

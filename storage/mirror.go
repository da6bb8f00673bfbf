package storage

type (
	// Mirror holds the entries below a prefix as of the newest answer of the
	// store. Lists and watches may be answered out of order; an answer that a
	// newer one has overtaken changes nothing. It is not safe for concurrent
	// use.
	Mirror struct {
		entries map[string]Entry
		version Version
	}
)

// NewMirror returns a mirror without entries.
func NewMirror() *Mirror { return &Mirror{entries: make(map[string]Entry)} }

// Replace replaces all entries by those of a list at the version. It reports
// false if the mirror already has a newer version.
func (m *Mirror) Replace(entries []Entry, version Version) bool {
	if version < m.version {
		return false
	}
	clear(m.entries)
	for _, e := range entries {
		m.entries[e.Key()] = e
	}
	m.version = version
	return true
}

// Apply applies the events of a watch that has reached the version.
func (m *Mirror) Apply(events []Event, version Version) {
	for _, event := range events {
		e := event.Entry()
		// The pages of a list are read one after the other, so a single entry
		// may be newer than the version of the list.
		if e.Version() <= m.version || e.Version() <= m.entries[e.Key()].Version() {
			continue
		}
		if event.Deleted() {
			delete(m.entries, e.Key())
			continue
		}
		m.entries[e.Key()] = e
	}
	m.version = max(m.version, version)
}

// Entries returns the entries in no particular order.
func (m *Mirror) Entries() []Entry {
	list := make([]Entry, 0, len(m.entries))
	for _, e := range m.entries {
		list = append(list, e)
	}
	return list
}

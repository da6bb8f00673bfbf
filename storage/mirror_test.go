package storage_test

import (
	"testing"

	"github.com/matryer/is"

	"chervilhollow/storage"
)

// A list that the watch has overtaken must not bring back what the watch has
// replaced or removed.
func TestMirrorKeepsNewerContent(t *testing.T) {
	is := is.New(t)
	m := storage.NewMirror()
	is.True(m.Replace([]storage.Entry{entryAt("config", "1", 5), entryAt("evacuate", "a", 6)}, 6))
	m.Apply([]storage.Event{
		storage.NewEvent(entryAt("config", "2", 7), false),
		storage.NewEvent(entryAt("evacuate", "", 8), true),
	}, 8)
	is.True(!m.Replace([]storage.Entry{entryAt("config", "1", 5), entryAt("evacuate", "a", 6)}, 6))
	is.Equal(mirrored(m), map[string]string{"config": "2"})
}

// After a newer list, the events that it already includes must change nothing,
// and later ones must apply.
func TestMirrorSkipsIncludedEvents(t *testing.T) {
	is := is.New(t)
	m := storage.NewMirror()
	// The second page of the list was read after version 12.
	is.True(m.Replace([]storage.Entry{entryAt("config", "3", 10), entryAt("zone", "new", 12)}, 11))
	m.Apply([]storage.Event{
		storage.NewEvent(entryAt("config", "2", 9), false),
		storage.NewEvent(entryAt("zone", "", 12), true),
		storage.NewEvent(entryAt("zone", "newer", 13), false),
	}, 13)
	is.Equal(mirrored(m), map[string]string{"config": "3", "zone": "newer"})
}

func entryAt(key, value string, version storage.Version) storage.Entry {
	return storage.NewEntry(key, []byte(value), version)
}

func mirrored(m *storage.Mirror) map[string]string {
	content := make(map[string]string)
	for _, e := range m.Entries() {
		content[e.Key()] = string(e.Value())
	}
	return content
}

package simulator_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/simulator"
)

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "workers.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against comments that are not accepted, and against a pattern that
// generates the wrong workers.
func TestWorkerSettings(t *testing.T) {
	is := is.New(t)
	settings, err := simulator.LoadWorkerSettings(writeSettings(t, `{
		// One listed worker and a pattern.
		"workers": [{"id": "a", "domain": "east", "rack": "r9", "slots": 1, "connections": 2}],
		"pattern": {"domains": ["east", "west"], "racks": 2, "per_rack": 3,
			"size": {"slots": 8, "connections": 64, "milli_cores": 64000, "memory_mb": 1024}},
	}`))
	is.NoErr(err)
	workers := settings.HostListWorkers("http://127.0.0.1:7600")
	is.Equal(len(workers), 13)
	is.Equal(workers[12].ID(), order.WorkerID("west-r2-3"))
	is.Equal(workers[12].Group(), order.GroupID("west/r2"))
	is.Equal(workers[12].URL(), "http://127.0.0.1:7600/w/west-r2-3")
	is.Equal(workers[12].Size().Memory(), order.Bytes(1<<30))
}

// Guards against invalid settings files that are accepted.
func TestWorkerSettingsErrors(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field": `{"worker": []}`,
		"no rack":       `{"workers": [{"id": "a", "domain": "east", "slots": 1, "connections": 1}]}`,
		"no slots":      `{"workers": [{"id": "a", "domain": "east", "rack": "r1", "connections": 1}]}`,
		"listed twice": `{"workers": [
			{"id": "a", "domain": "east", "rack": "r1", "slots": 1, "connections": 1},
			{"id": "a", "domain": "east", "rack": "r1", "slots": 1, "connections": 1}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := simulator.LoadWorkerSettings(writeSettings(t, text))
			is.New(t).True(err != nil)
		})
	}
}

// Guards against a worker stand-in that reads a host list file differently from
// the host list stand-in.
func TestSettingsFromHostFile(t *testing.T) {
	is := is.New(t)
	file, err := simulator.ParseHostFile([]byte(`{
		"workers": [], "entry_hosts": [],
		"generate": {"count": 4, "domains": ["east", "west"], "workers_per_rack": 2, "id": "g{n}",
			"url": "http://127.0.0.1:7600/w/g{n}", "cores": 1.5, "memory": 1073741824, "slots": 2, "connections": 4},
	}`))
	is.NoErr(err)
	settings := simulator.SettingsFromHostFile(file)
	is.NoErr(settings.Check())
	is.Equal(len(settings.Workers), 4)
	is.Equal(settings.Workers[3].MilliCores, order.MilliCores(1500))
	is.Equal(settings.Workers[3].MemoryMB, int64(1024))
}

package simulator_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/simulator"
	"chervilhollow/timers"
)

const hostFile = `{
  // One worker by hand, and a pattern.
  "workers": [{"id": "w", "url": "http://127.0.0.1:1", "domain": "north", "rack": "r9", "cores": 0.5}],
  "generate": {
    "count": 5, "domains": ["east", "west"], "workers_per_rack": 2,
    "id": "g{n}", "url": "http://127.0.0.1:{port}", "first_port": 7700,
    "cores": 64, "memory": 1024, "slots": 8, "connections": 64, "fenced": true,
  },
  "entry_hosts": [{"address": "10.0.0.1", "domain": "east"}],
}`

// Guards against a state change that appears in the list before the lag or
// not at all, and against a client that decodes the list incorrectly.
func TestHostsStateLag(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	file, err := simulator.ParseHostFile([]byte(hostFile))
	is.NoErr(err)
	clock := timers.NewManual(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))
	server := httptest.NewServer(simulator.NewHosts(clock, file))
	defer server.Close()
	hosts := roster.NewHostListClient(server.URL, clock)
	is.NoErr(hosts.Fetch(ctx))
	is.Equal(hosts.Groups(), []order.GroupID{"east/r1", "east/r2", "north/r9", "west/r1"})
	is.Equal(hosts.Workers()[4].URL(), "http://127.0.0.1:7704")
	is.Equal(hosts.Workers()[5].Size().Cores(), order.MilliCores(500))
	post(t, server.URL+"/v1/hosts/g1/state", `{"state": "leaving"}`)
	post(t, server.URL+"/v1/hosts/10.0.0.1/state", `{"state": "gone"}`)
	clock.Advance(1900 * time.Millisecond)
	is.NoErr(hosts.Fetch(ctx))
	is.True(!hosts.Unschedulable("g1"))
	is.True(hosts.Contains("10.0.0.1:7100"))
	clock.Advance(100 * time.Millisecond)
	is.NoErr(hosts.Fetch(ctx))
	is.True(hosts.Unschedulable("g1"))
	is.True(!hosts.Unschedulable("g2"))
	is.True(!hosts.Contains("10.0.0.1:7100"))
	post(t, server.URL+"/switch", `{"outage": true}`)
	is.True(hosts.Fetch(ctx) != nil)
}

// Guards against invalid host list files that are accepted.
func TestHostFileErrors(t *testing.T) {
	for _, text := range []string{
		`{"workers": [{"id": "w", "speed": 3}]}`,
		`{"workers": [{"id": "w", "url": "u", "domain": "d"}]}`,
		`{"workers": [{"id": "w", "url": "u", "domain": "d", "rack": "r", "state": "lost"}]}`,
		`{"workers": [{"id": "w", "url": "u", "domain": "d", "rack": "r"}, {"id": "w", "url": "u", "domain": "d", "rack": "r"}]}`,
		`{"generate": {"count": 3}}`,
		`{"entry_hosts": [{"address": "10.0.0.1"}]}`,
		`{`,
	} {
		if _, err := simulator.ParseHostFile([]byte(text)); err == nil {
			t.Errorf("no error for %s", text)
		}
	}
}

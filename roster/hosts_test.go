package roster_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/timers"
)

const hostListResponse = `{
  "workers": [
    {"id": "w2", "url": "http://127.0.0.1:2", "domain": "east", "rack": "r1", "cores": 1.5, "memory": 1024, "accelerators": 1, "slots": 8, "connections": 64, "fenced": true, "state": "leaving"},
    {"id": "w1", "url": "http://127.0.0.1:1", "domain": "east", "rack": "r1", "cores": 64, "memory": 2048, "slots": 8, "connections": 64, "state": "live"},
    {"id": "w3", "url": "http://127.0.0.1:3", "domain": "west", "rack": "r1", "cores": 64, "memory": 2048, "slots": 8, "connections": 64, "state": "live"}
  ],
  "entry_hosts": [{"address": "10.0.0.1", "domain": "east"}, {"address": "10.0.0.2:7000", "domain": "west"}]
}`

// Guards against a list that is dropped or misread when the platform responds
// with an error, and against a host that is reported as removed before any list
// was fetched.
func TestHostList(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	down := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(hostListResponse))
	}))
	defer server.Close()
	clock := timers.NewManual(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))
	hosts := roster.NewHostListClient(server.URL, clock)
	is.True(hosts.Contains("10.0.0.9:1"))
	is.NoErr(hosts.Fetch(ctx))
	down = true
	clock.Advance(5 * time.Second)
	is.True(hosts.Fetch(ctx) != nil)
	is.Equal(hosts.ListAge(), 5*time.Second)
	is.Equal(len(hosts.Workers()), 3)
	is.Equal(hosts.Groups(), []order.GroupID{"east/r1", "west/r1"})
	is.True(!hosts.Unschedulable("w1"))
	is.True(hosts.Unschedulable("w2"))
	is.True(hosts.Unschedulable("w9"))
	is.Equal(hosts.Workers()[1].Size().Cores(), order.MilliCores(1500))
	is.True(hosts.Workers()[1].Fenced())
	is.True(hosts.Contains("10.0.0.1:7001"))
	is.True(hosts.Contains("10.0.0.2:7000"))
	is.True(!hosts.Contains("10.0.0.2:7001"))
	is.True(!hosts.Contains("10.0.0.9:1"))
}

// Guards against a list that is fetched and indexed again although its ETag is
// unchanged, which at the target cluster size would cost more than everything
// else that a placer does, and against one that is not replaced after a change.
func TestHostListUnchanged(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	tag, full := `"1"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		full++
		_, _ = w.Write([]byte(hostListResponse))
	}))
	defer server.Close()
	clock := timers.NewManual(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))
	hosts := roster.NewHostListClient(server.URL, clock)
	for range 3 {
		is.NoErr(hosts.Fetch(ctx))
		clock.Advance(time.Second)
	}
	is.Equal(full, 1)
	is.Equal(hosts.ListAge(), time.Second)
	is.Equal(len(hosts.WorkersOf("east/r1")), 2)
	tag = `"2"`
	is.NoErr(hosts.Fetch(ctx))
	is.Equal(full, 2)
}

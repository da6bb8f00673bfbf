package roster_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
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

// Guards against one odd row that makes the whole list unreadable, or that is
// taken for a worker.
func TestReadsHostListBesideOddRows(t *testing.T) {
	worker := func(id, field, value string) string {
		fields := map[string]string{
			"url": `"http://127.0.0.1:1"`, "domain": `"east"`, "rack": `"r1"`, "cores": "64", "memory": "2048",
			"accelerators": "1", "slots": "8", "connections": "64", "state": `"live"`,
		}
		fields[field] = value
		row := `{"id":` + id
		for name, text := range fields {
			row += `,"` + name + `":` + text
		}
		return row + "}"
	}
	for _, row := range []string{
		`null`, `7`, `[]`, `{}`, strings.Repeat("[", 5000) + strings.Repeat("]", 5000), worker(`7`, "rack", `"r1"`), worker(`""`, "rack", `"r1"`),
		worker(`"x"`, "cores", "1e400"), worker(`"x"`, "cores", "1e300"), worker(`"x"`, "cores", "-1"), worker(`"x"`, "memory", "99999999999999999999"),
		worker(`"x"`, "memory", "-1"), worker(`"x"`, "slots", "1.5"), worker(`"x"`, "slots", "-8"), worker(`"x"`, "accelerators", "4294967296"),
		worker(`"x"`, "connections", `"64"`), worker(`"x"`, "url", `"http://127.0.0.1:99999"`), worker(`"x"`, "url", `"http://127.0.0.1:-1"`),
		worker(`"x"`, "url", `"http://127.0.0.1 :1"`), worker(`"x"`, "url", `"127.0.0.1:1"`), worker(`"x"`, "url", `"http://"`), worker(`"x"`, "url", `"file:///x"`),
		worker(`"x"`, "url", `""`), worker(`"x"`, "state", "[]"), worker(`"x"`, "domain", "1e400"),
	} {
		t.Run(row[:min(len(row), 200)], func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(`{"workers":[` + row + `,` + worker(`"w1"`, "rack", `"r1"`) + `],
					"entry_hosts":[{"address":7},null,{"address":"10.0.0.1","domain":"east"}]}`))
			}))
			defer server.Close()
			hosts := roster.NewHostListClient(server.URL, timers.New())
			is.NoErr(hosts.Fetch(context.Background()))
			is.Equal(len(hosts.Workers()), 1)
			is.True(!hosts.Unschedulable("w1"))
			is.Equal(len(hosts.EntryHosts()), 1)
		})
	}
}

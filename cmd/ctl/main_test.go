package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/ownership"
	"chervilhollow/sheet"
	"chervilhollow/simulator"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

const hostFile = `{
  "generate": {"count": 4, "domains": ["east", "west"], "workers_per_rack": 2,
    "id": "w{n}", "url": "http://127.0.0.1:{port}", "first_port": 7700, "cores": 64},
  "entry_hosts": [{"address": "10.0.0.1", "domain": "east"}, {"address": "10.0.0.2", "domain": "west"}],
}`

// cell runs a store, a host list and the admin servers of member processes that
// report revisions.
type cell struct {
	t        *testing.T
	store    *simulator.Store
	hostsURL string
	storeURL string
}

func newCell(t *testing.T) *cell {
	t.Helper()
	file, err := simulator.ParseHostFile([]byte(hostFile))
	if err != nil {
		t.Fatal(err)
	}
	hosts := httptest.NewServer(simulator.NewHosts(timers.New(), file, simulator.WithLag(0)))
	t.Cleanup(hosts.Close)
	store := simulator.NewStore(timers.New())
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return &cell{t: t, store: store, hostsURL: hosts.URL, storeURL: server.URL}
}

// registerMember starts the admin server of a process that reports the given
// revision, and writes its member record.
func (c *cell) registerMember(id order.MemberID, revision *atomic.Uint64) {
	c.t.Helper()
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"revision":%d,"store_reachable":true}`, revision.Load())
	}))
	c.t.Cleanup(admin.Close)
	m := member{ID: id, Role: "placer", Domain: "east", Admin: strings.TrimPrefix(admin.URL, "http://")}
	c.putRecord("member/"+string(id), m)
}

func (c *cell) putRecord(key string, value any) {
	c.t.Helper()
	data, err := json.Marshal(value)
	if err == nil {
		_, err = c.store.Memory().Swap(context.Background(), key, 0, data, 0)
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

// ctl runs one command against the cell and returns its exit status and output.
func (c *cell) ctl(args ...string) (int, string) {
	c.t.Helper()
	var out bytes.Buffer
	args = append([]string{"--store", c.storeURL, "--hosts", c.hostsURL, "--author", "anna"}, args...)
	status := run(context.Background(), timers.New(), args, &out, &out)
	return status, out.String()
}

func (c *cell) config() *sheet.Config {
	c.t.Helper()
	base, err := sheet.NewEditor(c.store.Memory(), timers.New()).Load(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	return base.Config()
}

// Guards against commands whose output does not match the recorded
// configuration.
func TestCommands(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	status, out := c.ctl("team", "set", "toys", "--share", "2", "--limit", "40")
	is.Equal(status, exitOK)
	is.True(strings.Contains(out, "recorded revision 1"))
	is.True(strings.Contains(out, "accepted revision 1"))
	status, out = c.ctl("key", "give", "toys")
	is.Equal(status, exitOK)
	secret := regexp.MustCompile(`secret (\S+)`).FindStringSubmatch(out)[1]
	team, state := c.config().Authenticate(secret)
	is.Equal(team, order.TeamName("toys"))
	is.Equal(state, sheet.KeyValid)
	status, _ = c.ctl("key", "withdraw", sheet.HashKey(secret))
	is.Equal(status, exitOK)
	_, state = c.config().Authenticate(secret)
	is.Equal(state, sheet.KeyWithdrawn)
	status, _ = c.ctl("domain", "out", "east")
	is.Equal(status, exitOK)
	is.True(!c.config().DomainOpen("east"))
	status, out = c.ctl("domain", "out", "east")
	is.Equal(status, exitOK)
	is.True(strings.Contains(out, "nothing to change in revision 4"))
	status, _ = c.ctl("domain", "back", "east")
	is.Equal(status, exitOK)
	is.True(c.config().DomainOpen("east"))
	status, _ = c.ctl("team", "set", "--domains", "east,west", "toys")
	is.Equal(status, exitOK)
	toys, _ := c.config().Team("toys")
	is.Equal(toys.Limit(), 40)
	is.Equal(len(toys.Domains()), 2)
	status, _ = c.ctl("key", "forget", "all")
	is.Equal(status, exitOK)
	is.Equal(len(c.config().Keys()), 0)
	for _, args := range [][]string{{"show"}, {"show", "--json"}, {"hosts"}, {"members"}, {"wait", "7"}} {
		status, out = c.ctl(args...)
		is.Equal(status, exitOK)
		is.True(out != "" || args[0] == "members")
	}
}

// Guards against invalid input that changes the configuration, or that ends
// with the exit status of a success.
func TestInvalidCommands(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for _, test := range []struct {
		args   string
		status int
	}{
		{"", exitUsage},
		{"frobnicate", exitUsage},
		{"key", exitUsage},
		{"key give", exitUsage},
		{"key give nobody", exitFailed},
		{"key withdraw nothing", exitFailed},
		{"key forget nothing", exitFailed},
		{"domain out esat", exitFailed},
		{"team set toys", exitUsage},
		{"team set toys --share 0 --limit 3", exitFailed},
		{"team set toys --share x --limit 3", exitUsage},
		{"wait soon", exitUsage},
		{"show --colour", exitUsage},
		{"import missing.csv", exitFailed},
		{"--help", exitOK},
		{"team set --help", exitOK},
		{"team set toys --help", exitOK},
	} {
		status, out := c.ctl(strings.Fields(test.args)...)
		if status != test.status || out == "" {
			t.Errorf("ctl %s: status %d, want %d: %s", test.args, status, test.status, out)
		}
	}
	is.Equal(c.config().Revision(), order.Revision(0))
}

// Guards against an invalid sheet that is applied in part, and against an error
// output that leaves out some of its faults.
func TestImport(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	file := filepath.Join(t.TempDir(), "sheet.csv")
	good := "type,name,value,state\nteam,toys,,\nshare,toys,2,\nlimit,toys,40,\ndomain,west,,out\n"
	is.NoErr(os.WriteFile(file, []byte(good), 0o600))
	status, _ := c.ctl("import", file)
	is.Equal(status, exitOK)
	is.Equal(c.config().Revision(), order.Revision(1))
	is.True(!c.config().DomainOpen("west"))
	is.NoErr(os.WriteFile(file, []byte(good+"limit,pets,x,\nkey,toys,y,\n"), 0o600))
	status, out := c.ctl("import", file)
	is.Equal(status, exitFailed)
	is.True(strings.Contains(out, "row 6, column name: no team row for \"pets\""))
	is.True(strings.Contains(out, "row 7, column value: a key must begin with"))
	is.Equal(c.config().Revision(), order.Revision(1))
}

// Guards against printing "accepted" while a process that may act has an older
// revision: a registered process, or one whose lease has expired but that is
// still the owner or standby in a partition record.
func TestAcceptance(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	var upToDate, behind atomic.Uint64
	upToDate.Store(1)
	c.registerMember("10.0.0.1:1/01A", &upToDate)
	c.registerMember("10.0.0.2:1/01B", &behind)
	c.putRecord("partition/r/01", ownership.NewRecord("10.0.0.1:2/01C", "10.0.0.1:1/01A", 1))
	c.putRecord("partition/r/02", ownership.NewRecord("10.0.0.9:2/01D", "10.0.0.1:1/01A", 1))
	status, out := c.ctl("--timeout", "1200ms", "team", "set", "toys", "--share", "2", "--limit", "40")
	is.Equal(status, exitNotAccepted)
	is.True(strings.Contains(out, "recorded revision 1"))
	is.True(strings.Contains(out, "still missing: 10.0.0.1:2/01C (not registered, but named in a partition record), 10.0.0.2:1/01B (has revision 0)"))
	is.True(!strings.Contains(out, "accepted revision"))
	is.True(!strings.Contains(out, "10.0.0.9")) // not in the host list: presumed dead
	behind.Store(1)
	status, out = c.ctl("--timeout", "1200ms", "wait", "1")
	is.Equal(status, exitNotAccepted)
	is.True(strings.Contains(out, "01C"))
	c.registerMember("10.0.0.1:2/01E", &upToDate) // a later process at the same address
	status, _ = c.ctl("wait", "1")
	is.Equal(status, exitOK)
}

// Guards against a change that is recorded twice after a lost answer, a lost
// request that ends with the exit status of a plain failure, and a command that
// does not retry through a short outage of the store.
func TestStoreFaults(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.store.Memory().LoseAnswers(1)
	status, out := c.ctl("team", "set", "toys", "--share", "2", "--limit", "40")
	is.Equal(status, exitOK)
	is.True(strings.Contains(out, "recorded revision 1"))
	is.Equal(c.config().Revision(), order.Revision(1))
	c.store.Memory().SetFaults(func(kind storage.CallKind) storage.Fault {
		if kind == storage.CallSwap {
			return storage.FaultRequestLost
		}
		return storage.FaultNone
	})
	status, _ = c.ctl("--timeout", "500ms", "team", "set", "toys", "--limit", "41")
	is.Equal(status, exitUncertain)
	c.store.Memory().SetFaults(nil)
	c.store.Memory().SetOutage(true)
	status, _ = c.ctl("--timeout", "500ms", "team", "set", "toys", "--limit", "41")
	is.Equal(status, exitFailed)
	begin := time.Now()
	time.AfterFunc(300*time.Millisecond, func() { c.store.Memory().SetOutage(false) })
	status, _ = c.ctl("team", "set", "toys", "--limit", "41")
	is.Equal(status, exitOK)
	is.True(time.Since(begin) >= 300*time.Millisecond)
	is.Equal(c.config().Revision(), order.Revision(2))
}

// Guards against a change that overwrites another operator's change, or does
// not report it. The other change is recorded between the load and the write.
func TestConflict(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	var once sync.Once
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/swap" {
			once.Do(func() { c.changeAsOther() })
		}
		c.store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	status, out := c.ctl("--store", server.URL, "team", "set", "toys", "--share", "2", "--limit", "40")
	is.Equal(status, exitConflict)
	is.True(strings.Contains(out, "revision 1 by ben"))
	is.True(strings.Contains(out, "take domain east out"))
	is.Equal(len(c.config().Teams()), 0)
}

// changeAsOther records a change of another operator.
func (c *cell) changeAsOther() {
	c.t.Helper()
	editor := sheet.NewEditor(c.store.Memory(), timers.New(), sheet.WithAuthor("ben"))
	_, err := editor.Edit(context.Background(), func(*sheet.Config) ([]sheet.Edit, error) {
		return []sheet.Edit{sheet.SetDomain("east", false, sheet.SourceOperator)}, nil
	})
	if err != nil {
		c.t.Error(err)
	}
}

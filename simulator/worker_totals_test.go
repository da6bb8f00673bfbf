package simulator_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/simulator"
	"chervilhollow/timers"
)

func callWorkers(t *testing.T, s *simulator.Workers, method, path, body string, answer any) {
	t.Helper()
	rw := httptest.NewRecorder()
	s.ServeHTTP(rw, httptest.NewRequest(method, path, strings.NewReader(body)))
	if rw.Code != http.StatusOK {
		t.Fatalf("%s: %d %s", path, rw.Code, rw.Body)
	}
	if err := json.Unmarshal(rw.Body.Bytes(), answer); err != nil {
		t.Fatal(err)
	}
}

// Guards against totals that omit the running or ended tasks of a team, from
// which the measurements are computed.
func TestWorkerTotals(t *testing.T) {
	is := is.New(t)
	s := simulator.NewWorkers(timers.New(), simulator.WorkerSettings{Workers: []simulator.WorkerSpec{
		{ID: "w0", Domain: "east", Rack: "r1", Slots: 4, Connections: 9, MilliCores: 8000, MemoryMB: 1024},
	}})
	defer s.Close()
	var listing struct {
		Stamp json.RawMessage `json:"stamp"`
	}
	callWorkers(t, s, http.MethodGet, "/w/w0/v1/tasks?epoch=1", "", &listing)
	for i, run := range []int{1, 60000} {
		payload, err := json.Marshal(fmt.Appendf(nil, `{"run_ms": %d, "result": "x", "use": {"cores": 1.5}}`, run))
		is.NoErr(err)
		callWorkers(t, s, http.MethodPost, "/w/w0/v1/tasks", fmt.Sprintf(
			`{"task": "toys/r%d/0", "attempt": 1, "epoch": 1, "lease_ms": 9000, "as_of": %s, "size": {"milli_cores": 2000, "memory_bytes": 1048576}, "payload": %s}`,
			i, listing.Stamp, payload), &struct{}{})
	}
	var totals simulator.WorkerTotals
	for range 200 {
		callWorkers(t, s, http.MethodGet, "/totals", "", &totals)
		if totals.Teams["toys"].Done == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(totals.Slots, 4)
	is.Equal(totals.MilliCores, order.MilliCores(8000))
	is.Equal(totals.Domains["east"], 1)
	is.Equal(totals.Teams["toys"], simulator.TeamTotals{
		Running: 1, MilliCores: 2000, MemoryMB: 1, UsedMilliCores: 1500, UsedMemoryMB: 1, Started: 2, Done: 1,
	})
}

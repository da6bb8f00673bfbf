package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/simulator"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// newReading returns a sample of a cell with 100 slots, in which each team has
// the given number of running tasks of 1 core each.
func newReading(at time.Time, running map[order.TeamName]int) reading {
	r := reading{at: at, totals: simulator.WorkerTotals{Slots: 100, MilliCores: 100000, MemoryMB: 100, Teams: make(map[order.TeamName]simulator.TeamTotals)}}
	for team, n := range running {
		r.totals.Teams[team] = simulator.TeamTotals{Running: n, MilliCores: order.MilliCores(n * 1000), Started: n, Done: n}
	}
	return r
}

// Guards against a fair share above a team's demand or limit, which would
// report a shortfall that the scheduler did not cause.
func TestEntitlements(t *testing.T) {
	is := is.New(t)
	shares := map[string]teamShare{
		"big": {share: 2, limit: 100}, "small": {share: 1, limit: 100},
		"idle": {share: 3, limit: 100}, "limited": {share: 4, limit: 10},
	}
	demands := map[string]demand{"big": {tasks: 90}, "small": {tasks: 90}, "idle": {tasks: 10}, "limited": {tasks: 90}}
	r := newReading(time.Now(), map[order.TeamName]int{"big": 50, "small": 30, "idle": 10, "limited": 10})
	entitled := metrics[0].entitlements(r, shares, demands)
	is.True(near(entitled["idle"], 0.1))
	is.True(near(entitled["limited"], 0.1))
	is.True(near(entitled["big"], 0.8*2/3))
	is.True(near(entitled["small"], 0.8/3))
}

// Guards against counting samples in which the cell was not full, where use
// depends on demand and not on the shares.
func TestDistanceOnlyWhileFull(t *testing.T) {
	is := is.New(t)
	shares := map[string]teamShare{"a": {share: 1, limit: 100}, "b": {share: 1, limit: 100}}
	demands := map[string]demand{"a": {tasks: 200}, "b": {tasks: 200}}
	now := time.Now()
	p := phase{name: "overload", readings: []reading{
		newReading(now, map[order.TeamName]int{"a": 10}),
		newReading(now, map[order.TeamName]int{"a": 60, "b": 40}),
	}}
	list := p.distances(metrics[0], 0.95, shares, demands)
	is.Equal(len(list), 2)
	is.Equal(list[0].samples, 1)
	is.True(near(list[0].relativeDistance(), 0.2))
	is.True(near(list[1].relativeDistance(), -0.2))
	is.True(near(list[1].worstShortfall, 0.1))
}

// Guards against samples that are assigned to the wrong phase.
func TestSplit(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(100, 0)
	var readings []reading
	for i := range 10 {
		readings = append(readings, newReading(begin.Add(time.Duration(i)*time.Second), map[order.TeamName]int{"a": 3 * i}))
	}
	file := filepath.Join(t.TempDir(), "marks")
	is.NoErr(os.WriteFile(file, []byte("101000000000 first\n104000000000 -\n106000000000 domain out\n"), 0o600))
	marks, err := readMarks(file)
	is.NoErr(err)
	phases := splitPhases(readings, marks)
	is.Equal(len(phases), 2)
	is.Equal(phases[0].name, "first")
	is.Equal(len(phases[0].readings), 3)
	is.Equal(phases[1].name, "domain out")
	is.Equal(len(phases[1].readings), 4)
	is.True(near(phases[0].doneRate(), 3))
}

// Guards against reading the wrong fields of /proc. The process computes until
// the kernel has counted 100 ms of processor time, of which more than 50 ms must
// be reported.
func TestProcessUsage(t *testing.T) {
	is := is.New(t)
	for used := time.Duration(0); used < 100*time.Millisecond; {
		_ = math.Sqrt(2)
		var usage syscall.Rusage
		is.NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
		used = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	cpu, bytes, err := processUsage(os.Getpid())
	is.NoErr(err)
	is.True(cpu > 50*time.Millisecond && cpu < time.Minute)
	is.True(bytes > 1<<20 && bytes < 1<<32)
}

// Guards against a table of waiting times that leaves out a kind, team or code.
func TestPrintWaiting(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "day.csv")
	is.NoErr(os.WriteFile(file, []byte("kind,team,sent,waited_ms_p50,waited_ms_max,end_to_end_ms_p50,code_0,code_202\n"+
		"batch,all,7,1.250,3.000,20.125,6,1\nbatch,toys,7,,,20.125,7,0\n"), 0o600))
	var out strings.Builder
	is.NoErr(printWaiting(&out, []string{"day=" + file}))
	is.True(strings.Contains(out.String(), "| day | batch | all | 7 | 1.2, 3.0 | 20.1 | 0: 6, 202: 1 |"))
	is.True(strings.Contains(out.String(), "| day | batch | toys | 7 | - | 20.1 | 0: 7 |"))
}

// Guards against example mixes whose demand cannot be read, or whose teams are
// not in the sheet.
func TestExampleMixes(t *testing.T) {
	for _, deployment := range []string{"tagline", "sandfjord"} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			dir := filepath.Join("..", "..", "examples", deployment)
			shares, err := readShares(filepath.Join(dir, "sheet.csv"))
			is.NoErr(err)
			for _, mix := range []string{"load.json", "overload.json", "domain.json"} {
				demands, err := readDemands(filepath.Join(dir, mix))
				is.NoErr(err)
				is.True(len(demands) > 0)
				for team, d := range demands {
					is.True(shares[team].share > 0)
					is.True(d.tasks > 0)
				}
			}
		})
	}
}

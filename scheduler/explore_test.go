package scheduler

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// exploreFirst and exploreCount are the seeds of each plain run of the tests,
	// and as many extended and isolated worlds.
	exploreFirst = 101
	exploreCount = 50
)

// exploreSetting returns a number from the environment, which make explore sets.
func exploreSetting(t *testing.T, name string, otherwise uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// No seed may break a rule.
func TestExplore(t *testing.T) {
	if seed := exploreSetting(t, "EXPLORE_SEED", 0); seed != 0 {
		w := explore(seed, true)
		t.Logf("seed %d\n%s", seed, w.timeline.String())
		if len(w.checks.broken) > 0 {
			t.Fail()
		}
		return
	}
	if os.Getenv("EXPLORE_FROM") == "" {
		exploreSeeds(t, exploreFirst, exploreCount)
		exploreSeeds(t, exploreExtended+exploreFirst, exploreCount)
		exploreSeeds(t, exploreIsolated+exploreFirst, exploreCount)
		return
	}
	exploreSeeds(t, exploreSetting(t, "EXPLORE_FROM", exploreFirst), exploreSetting(t, "EXPLORE_SEEDS", exploreCount))
}

// exploreSeeds plays the seeds from the first one on. With EXPLORE_STOP it ends
// at the first that fails.
func exploreSeeds(t *testing.T, first, count uint64) {
	begin, starts, claims, failed := time.Now(), 0, 0, 0
	for seed := first; seed < first+count; seed++ {
		w := explore(seed, false)
		starts, claims = starts+w.checks.starts, claims+len(w.owners)
		if len(w.checks.broken) > 0 {
			failed++
			t.Errorf("seed %d after %.1f s: %d broken, first %s", seed, time.Since(begin).Seconds(), len(w.checks.broken), w.checks.broken[0])
			if os.Getenv("EXPLORE_STOP") != "" {
				return
			}
		}
		if done := seed - first + 1; done%500 == 0 {
			t.Logf("%d seeds, %d failed, %.1f s", done, failed, time.Since(begin).Seconds())
		}
	}
	t.Logf("%d seeds, %d failed, %d starts, %d claims, %.1f s", count, failed, starts, claims, time.Since(begin).Seconds())
}

// A seed that failed must not fail again.
func TestExploreFailedSeeds(t *testing.T) {
	f, err := os.Open("testdata/explore/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		number, cause, _ := strings.Cut(lines.Text(), " ")
		seed, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			continue
		}
		t.Run(number, func(t *testing.T) {
			if w := explore(seed, false); len(w.checks.broken) > 0 {
				t.Errorf("%s: %d broken, first %s", cause, len(w.checks.broken), w.checks.broken[0])
			}
		})
	}
}

// Two runs of a seed must have the same timeline.
func TestExploreRepeats(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		if first, second := explore(seed, true), explore(seed, true); first.timeline.String() != second.timeline.String() {
			t.Errorf("seed %d: timelines differ", seed)
		}
	}
}

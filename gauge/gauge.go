// Package gauge holds the metrics of a process, its invariant checks, its log
// output and the admin endpoints that serve them. Start at Registry.
//
// Some prefixes of metric names and log lines are former package names. They
// are published and dashboards match them, so they stay: berth = placement,
// counter = frontend, depot = storage, ferry = transport, harbour = ownership,
// helm = election, pier = entryhost, till = queue, tonnage = quota,
// wharf = placer, window = gateway, yard = scheduler.
package gauge

import (
	"fmt"
	"net/http"
	"sort"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

type (
	// Registry holds the counters, gauges and timers of one process, which are
	// created when first used. It is safe for concurrent use.
	Registry struct {
		metrics metrics.Registry
		log     zerolog.Logger
		strict  atomic.Bool
		broken  atomic.Int64
	}

	// InvariantError describes a broken invariant. Invariant panics with it in
	// strict mode.
	InvariantError struct {
		name   string
		detail string
	}
)

// New returns an empty registry that logs broken invariants.
func New(log zerolog.Logger) *Registry {
	return &Registry{metrics: metrics.NewRegistry(), log: log}
}

// SetLog sets the log for broken invariants. It must be called before the
// registry is used by several goroutines.
func (r *Registry) SetLog(log zerolog.Logger) { r.log = log }

// SetStrict sets whether a broken invariant panics, as tests want.
func (r *Registry) SetStrict(strict bool) { r.strict.Store(strict) }

// Count adds one to the counter with the given name, for example
// "till.refused.queue_full".
func (r *Registry) Count(name string) { r.Add(name, 1) }

// Add adds n to the counter with the given name.
func (r *Registry) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.metrics).Inc(n)
}

// Set sets the gauge with the given name to the value.
func (r *Registry) Set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, r.metrics).Update(value)
}

// Observe records one duration under the given name.
func (r *Registry) Observe(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, r.metrics).Update(d)
}

// Counter returns the value of a counter, or zero if there is none of the name.
func (r *Registry) Counter(name string) int64 {
	if c, ok := r.metrics.Get(name).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// Invariant checks a condition that must always hold. If ok is false, it counts
// and logs the broken invariant, and in strict mode panics with an
// *InvariantError.
func (r *Registry) Invariant(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	err := &InvariantError{name: name, detail: fmt.Sprintf(format, args...)}
	r.broken.Add(1)
	r.Count("invariant.broken." + name)
	r.log.Error().Str("invariant", name).Msg("gauge: invariant broken: " + err.detail)
	if r.strict.Load() {
		panic(err)
	}
}

// BrokenInvariants returns how many invariant checks have failed.
func (r *Registry) BrokenInvariants() int64 { return r.broken.Load() }

// ServeHTTP writes all metrics as text, one per line, sorted by name.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	lines := make([]string, 0, 64)
	r.metrics.Each(func(name string, metric any) {
		lines = append(lines, format(name, metric)...)
	})
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// Error implements error.
func (e *InvariantError) Error() string {
	return "invariant " + e.name + " broken: " + e.detail
}

// format returns the lines of one metric.
func format(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Timer:
		t := m.Snapshot()
		return []string{
			fmt.Sprintf("%s.count %d", name, t.Count()),
			fmt.Sprintf("%s.p50_seconds %.6f", name, t.Percentile(0.5)/float64(time.Second)),
			fmt.Sprintf("%s.p99_seconds %.6f", name, t.Percentile(0.99)/float64(time.Second)),
		}
	}
	return nil
}

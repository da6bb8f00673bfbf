package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"chervilhollow/order"
)

type (
	// report collects the results of a run: one row per kind and team, and one
	// per kind for all teams. The sender's goroutines call it concurrently.
	report struct {
		mix *mixDocument

		mu             sync.Mutex
		rows           map[rowKey]*rowStats
		digest         uint64
		offered        int
		maxLag         time.Duration
		notOffered     int
		cancelFailures int
		faults         []string
	}

	// rowKey holds the indexes of a kind and a team in the mix; the team
	// allTeams is the row of the whole kind.
	rowKey struct{ kind, team int }

	// rowStats holds the counts of a row and its histograms of microseconds.
	rowStats struct {
		sent      int
		resent    int
		missing   int
		wrong     int
		duplicate int
		codes     map[order.Code]int
		waited    *hdrhistogram.Histogram
		endToEnd  *hdrhistogram.Histogram
	}
)

const (
	allTeams          = -1 // in rowKey
	maxMicros         = int64(24 * time.Hour / time.Microsecond)
	significantDigits = 3

	// maxFaults limits the faults that the report lists; all are counted.
	maxFaults = 20
)

var percentiles = []float64{50, 90, 99, 100}

func newReport(m *mixDocument) *report {
	return &report{mix: m, rows: make(map[rowKey]*rowStats)}
}

func newRowStats() *rowStats {
	return &rowStats{
		codes:    make(map[order.Code]int),
		waited:   hdrhistogram.New(1, maxMicros, significantDigits),
		endToEnd: hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

// update applies the change to the row of the arrival's kind and team and to
// that of its kind for all teams.
func (r *report) update(a *arrival, change func(*rowStats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range []rowKey{{a.kind, a.team}, {a.kind, allTeams}} {
		if r.rows[key] == nil {
			r.rows[key] = newRowStats()
		}
		change(r.rows[key])
	}
}

func (r *report) countSent(a *arrival)   { r.update(a, func(c *rowStats) { c.sent++ }) }
func (r *report) countResent(a *arrival) { r.update(a, func(c *rowStats) { c.resent++ }) }

func (r *report) recordMissing(a *arrival, err error) {
	r.update(a, func(c *rowStats) { c.missing++ })
	r.addFault(a, "no answer: "+err.Error())
}

func (r *report) recordWrong(a *arrival, what string) {
	r.update(a, func(c *rowStats) { c.wrong++ })
	r.addFault(a, what)
}

func (r *report) recordDuplicate(a *arrival, id string) {
	r.update(a, func(c *rowStats) { c.duplicate++ })
	r.addFault(a, "request "+id+" was answered twice")
}

// recordAnswer counts an answer that arrived after the given time. Answers to
// detached requests state no waiting time.
func (r *report) recordAnswer(a *arrival, answer answerDocument, took time.Duration) {
	r.update(a, func(c *rowStats) {
		c.codes[answer.Code]++
		recordMicros(c.endToEnd, float64(took)/float64(time.Microsecond))
		if !a.request.Detached {
			recordMicros(c.waited, answer.WaitedMS*float64(time.Millisecond/time.Microsecond))
		}
	})
}

// recordMicros adds a value, clamped to the range of the histogram.
func recordMicros(h *hdrhistogram.Histogram, micros float64) {
	_ = h.RecordValue(min(max(int64(micros), 0), maxMicros))
}

// recordOffer counts an arrival that is due and how late the sender was.
func (r *report) recordOffer(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxLag = max(r.maxLag, lag)
	r.offered++
}

// recordNotOffered counts an arrival that is not sent because in_flight
// requests are open.
func (r *report) recordNotOffered(a *arrival) {
	r.addFault(a, "not offered: too many requests are open")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notOffered++
}

func (r *report) countCancelFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelFailures++
}

// addFault adds a line to the listed faults.
func (r *report) addFault(a *arrival, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, fmt.Sprintf("arrival %d (%s): %s", a.serial, r.mix.Kinds[a.kind].Name, what))
	}
}

// failed reports whether an answer was missing, wrong or duplicated, or a
// request could not be sent. It may be called only after the run.
func (r *report) failed() bool {
	failures := r.notOffered
	for _, c := range r.rows {
		failures += c.missing + c.wrong + c.duplicate
	}
	return failures > 0
}

// keys returns the keys of the rows in order of kind and team; the row for all
// teams is the first of its kind.
func (r *report) keys() []rowKey {
	keys := make([]rowKey, 0, len(r.rows))
	for key := range r.rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].kind != keys[j].kind {
			return keys[i].kind < keys[j].kind
		}
		return keys[i].team < keys[j].team
	})
	return keys
}

func (r *report) rowNames(key rowKey) (kind, team string) {
	kind, team = r.mix.Kinds[key.kind].Name, "all"
	if key.team != allTeams {
		team = r.mix.Teams[key.team].Name
	}
	return kind, team
}

// table writes the report as text.
func (r *report) table(out io.Writer) {
	fmt.Fprintf(out, "load %016x, seed %d: %d of %d requests offered, sender late by at most %s\n\n",
		r.digest, r.mix.Seed, r.offered-r.notOffered, r.offered, r.maxLag.Round(time.Microsecond))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "kind\tteam\tsent\tagain\tmissing\twrong\ttwice\twaited ms p50/p90/p99/max\tend to end ms p50/p90/p99/max\tanswers by code")
	for _, key := range r.keys() {
		c := r.rows[key]
		kind, team := r.rowNames(key)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", kind, team, c.sent, c.resent,
			c.missing, c.wrong, c.duplicate, formatPercentiles(c.waited), formatPercentiles(c.endToEnd), formatCodes(c.codes))
	}
	w.Flush()
	if r.cancelFailures > 0 {
		fmt.Fprintf(out, "\n%d cancellations were not answered\n", r.cancelFailures)
	}
	for _, f := range r.faults {
		fmt.Fprintln(out, "fault:", f)
	}
}

// formatPercentiles returns the percentiles of a histogram in milliseconds,
// separated by slashes, or a dash if it is empty.
func formatPercentiles(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	parts := make([]string, 0, len(percentiles))
	for _, q := range percentiles {
		parts = append(parts, fmt.Sprintf("%.1f", milliseconds(h, q)))
	}
	return strings.Join(parts, "/")
}

func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / float64(time.Millisecond/time.Microsecond)
}

func formatCodes(codes map[order.Code]int) string {
	parts := make([]string, 0, len(codes))
	for _, code := range sortedCodes(codes) {
		parts = append(parts, fmt.Sprintf("%d:%d", code, codes[code]))
	}
	return strings.Join(parts, " ")
}

func sortedCodes(codes map[order.Code]int) []order.Code {
	list := make([]order.Code, 0, len(codes))
	for code := range codes {
		list = append(list, code)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

// csv writes the report with one column per code that occurred.
func (r *report) csv(out io.Writer) error {
	seen := make(map[order.Code]int)
	for _, c := range r.rows {
		for code, n := range c.codes {
			seen[code] += n
		}
	}
	codes := sortedCodes(seen)
	w := csv.NewWriter(out)
	_ = w.Write(csvHeader(codes))
	for _, key := range r.keys() {
		_ = w.Write(r.csvRow(key, codes))
	}
	w.Flush()
	return w.Error()
}

func csvHeader(codes []order.Code) []string {
	row := []string{"kind", "team", "sent", "resent", "missing", "wrong", "answered_twice"}
	for _, what := range []string{"waited_ms", "end_to_end_ms"} {
		row = append(row, what+"_p50", what+"_p90", what+"_p99", what+"_max")
	}
	for _, code := range codes {
		row = append(row, fmt.Sprintf("code_%d", code))
	}
	return row
}

func (r *report) csvRow(key rowKey, codes []order.Code) []string {
	c := r.rows[key]
	kind, team := r.rowNames(key)
	row := []string{kind, team}
	for _, n := range []int{c.sent, c.resent, c.missing, c.wrong, c.duplicate} {
		row = append(row, strconv.Itoa(n))
	}
	for _, h := range []*hdrhistogram.Histogram{c.waited, c.endToEnd} {
		for _, q := range percentiles {
			text := ""
			if h.TotalCount() > 0 {
				text = strconv.FormatFloat(milliseconds(h, q), 'f', 3, 64)
			}
			row = append(row, text)
		}
	}
	for _, code := range codes {
		row = append(row, strconv.Itoa(c.codes[code]))
	}
	return row
}

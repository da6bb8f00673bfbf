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
	// report collects the answers per kind and team.
	report struct {
		mix *mixDocument

		mu        sync.Mutex
		cells     map[cellKey]*cell
		digest    uint64
		offered   int
		worstLag  time.Duration
		notSent   int
		cancelBad int
		faults    []string
	}

	// cellKey names a row; the team -1 stands for all teams.
	cellKey struct{ kind, team int }

	cell struct {
		sent    int
		resent  int
		missing int
		wrong   int
		twice   int
		codes   map[order.Code]int
		waited  *hdrhistogram.Histogram
		total   *hdrhistogram.Histogram
	}
)

const (
	allTeams      = -1
	longestMicros = int64(24 * time.Hour / time.Microsecond)
	digits        = 3

	// shownFaults limits the faults that the report describes.
	shownFaults = 20
)

var quantiles = []float64{50, 90, 99, 100}

func newReport(m *mixDocument) *report {
	return &report{mix: m, cells: make(map[cellKey]*cell)}
}

func newCell() *cell {
	return &cell{
		codes:  make(map[order.Code]int),
		waited: hdrhistogram.New(1, longestMicros, digits),
		total:  hdrhistogram.New(1, longestMicros, digits),
	}
}

// update changes the row of the arrival's team and that of all teams.
func (r *report) update(a *arrival, change func(*cell)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range []cellKey{{a.kind, a.team}, {a.kind, allTeams}} {
		if r.cells[key] == nil {
			r.cells[key] = newCell()
		}
		change(r.cells[key])
	}
}

func (r *report) sent(a *arrival)   { r.update(a, func(c *cell) { c.sent++ }) }
func (r *report) resent(a *arrival) { r.update(a, func(c *cell) { c.resent++ }) }

func (r *report) missing(a *arrival, err error) {
	r.update(a, func(c *cell) { c.missing++ })
	r.fault(a, "no answer: "+err.Error())
}

func (r *report) wrong(a *arrival, what string) {
	r.update(a, func(c *cell) { c.wrong++ })
	r.fault(a, what)
}

func (r *report) twice(a *arrival, id string) {
	r.update(a, func(c *cell) { c.twice++ })
	r.fault(a, "request "+id+" was answered twice")
}

func (r *report) answered(a *arrival, answer answerDocument, took time.Duration) {
	r.update(a, func(c *cell) {
		c.codes[answer.Code]++
		record(c.total, float64(took)/float64(time.Microsecond))
		if !a.request.Detached {
			record(c.waited, answer.Waited*float64(time.Millisecond/time.Microsecond))
		}
	})
}

// record clamps the value to the range of the histogram.
func record(h *hdrhistogram.Histogram, micros float64) {
	_ = h.RecordValue(min(max(int64(micros), 0), longestMicros))
}

func (r *report) lag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.worstLag = max(r.worstLag, d)
	r.offered++
}

func (r *report) notOffered(a *arrival) {
	r.fault(a, "not offered: too many requests are open")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSent++
}

func (r *report) cancelFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelBad++
}

func (r *report) fault(a *arrival, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) < shownFaults {
		r.faults = append(r.faults, fmt.Sprintf("arrival %d (%s): %s", a.serial, r.mix.Kinds[a.kind].Name, what))
	}
}

// failed reports whether an answer was missing, wrong or given twice, or a
// request could not be offered.
func (r *report) failed() bool {
	bad := r.notSent
	for _, c := range r.cells {
		bad += c.missing + c.wrong + c.twice
	}
	return bad > 0
}

// keys returns the rows in order of kind and team, all teams first.
func (r *report) keys() []cellKey {
	keys := make([]cellKey, 0, len(r.cells))
	for key := range r.cells {
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

func (r *report) names(key cellKey) (kind, team string) {
	kind, team = r.mix.Kinds[key.kind].Name, "all"
	if key.team != allTeams {
		team = r.mix.Teams[key.team].Name
	}
	return kind, team
}

// table writes the report as text.
func (r *report) table(out io.Writer) {
	fmt.Fprintf(out, "load %016x, seed %d: %d of %d requests offered, sender late by at most %s\n\n",
		r.digest, r.mix.Seed, r.offered-r.notSent, r.offered, r.worstLag.Round(time.Microsecond))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "kind\tteam\tsent\tagain\tmissing\twrong\ttwice\twaited ms p50/p90/p99/max\tend to end ms p50/p90/p99/max\tanswers by code")
	for _, key := range r.keys() {
		c := r.cells[key]
		kind, team := r.names(key)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", kind, team, c.sent, c.resent,
			c.missing, c.wrong, c.twice, spread(c.waited), spread(c.total), codesText(c.codes))
	}
	w.Flush()
	if r.cancelBad > 0 {
		fmt.Fprintf(out, "\n%d cancellations were not answered\n", r.cancelBad)
	}
	for _, f := range r.faults {
		fmt.Fprintln(out, "fault:", f)
	}
}

func spread(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	parts := make([]string, 0, len(quantiles))
	for _, q := range quantiles {
		parts = append(parts, fmt.Sprintf("%.1f", milliseconds(h, q)))
	}
	return strings.Join(parts, "/")
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
}

func codesText(codes map[order.Code]int) string {
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
	for _, c := range r.cells {
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

func (r *report) csvRow(key cellKey, codes []order.Code) []string {
	c := r.cells[key]
	kind, team := r.names(key)
	row := []string{kind, team}
	for _, n := range []int{c.sent, c.resent, c.missing, c.wrong, c.twice} {
		row = append(row, strconv.Itoa(n))
	}
	for _, h := range []*hdrhistogram.Histogram{c.waited, c.total} {
		for _, q := range quantiles {
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

package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"

	"chervilhollow/order"
)

const mebibyte = 1 << 20

// printPhases prints two Markdown tables with a row per phase: work and
// packing, then resource use per role and calls of the store.
func printPhases(out io.Writer, phases []phase, roles []string) {
	fmt.Fprintln(out, "| phase | s | started/s | completed/s | slots used, mean and p10 | dominant resource used, mean and p10 |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, p := range phases {
		fmt.Fprintf(out, "| %s | %.1f | %.1f | %.1f | %s | %s |\n", p.name, p.seconds(), p.startedRate(), p.doneRate(),
			p.formatPacking(reading.slotUse), p.formatPacking(reading.dominantUse))
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, "| phase | "+strings.Join(usageHeader(roles), " | ")+" | store calls/s |")
	fmt.Fprintln(out, "|---"+strings.Repeat("|---", 4*len(roles)+1)+"|")
	for _, p := range phases {
		fmt.Fprintf(out, "| %s | %s | %s |\n", p.name, strings.Join(p.usageCells(roles), " | "), p.formatCalls())
	}
	fmt.Fprintln(out)
}

func usageHeader(roles []string) []string {
	var header []string
	for _, role := range roles {
		header = append(header, role+": cores", role+": CPU ms per start", role+": MiB of the largest", role+": KB/s read and written")
	}
	return header
}

// usageCells returns the cells below usageHeader. The CPU time per started task
// is left out if fewer than one task started per second.
func (p phase) usageCells(roles []string) []string {
	var cells []string
	for _, role := range roles {
		perStart := "-"
		if rate := p.startedRate(); rate >= 1 {
			perStart = fmt.Sprintf("%.2f", 1000*p.cores(role)/rate)
		}
		cells = append(cells, fmt.Sprintf("%.3f", p.cores(role)), perStart, strconv.FormatInt(p.maxResident(role)/mebibyte, 10),
			fmt.Sprintf("%.1f", p.ioRate(role)/1000))
	}
	return cells
}

// formatPacking returns the mean and the 10th percentile of a use.
func (p phase) formatPacking(value func(reading) float64) string {
	return fmt.Sprintf("%.1f%%, %.1f%%", 100*p.mean(value), 100*p.quantile(0.1, value))
}

func (p phase) formatCalls() string {
	rates := p.callRates()
	var parts []string
	total := 0.0
	for _, kind := range sortedKinds(rates) {
		total += rates[kind]
		if rates[kind] > 0 {
			parts = append(parts, fmt.Sprintf("%s %.1f", kind, rates[kind]))
		}
	}
	return fmt.Sprintf("%.1f (%s)", total, strings.Join(parts, ", "))
}

func sortedKinds(rates map[string]float64) []string {
	kinds := make([]string, 0, len(rates))
	for kind := range rates {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	return kinds
}

// printDistances prints a Markdown table of the teams' distances from their
// fair shares.
func printDistances(out io.Writer, list []distance) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(out, "| phase, by | team | share | demand | entitled | used | distance | worst shortfall | samples |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	for _, d := range list {
		fmt.Fprintf(out, "| %s, %s | %s | %g | %.1f%% | %.1f%% | %.1f%% | %+.1f%% | %.1f%% | %d |\n", d.phase, d.metric, d.team, d.share,
			100*d.demand, 100*d.entitled, 100*d.used, 100*d.relativeDistance(), 100*frac(d.worstShortfall, d.entitled), d.samples)
	}
	fmt.Fprintln(out)
}

// relativeDistance returns used minus entitled as a fraction of entitled.
func (d distance) relativeDistance() float64 { return frac(d.used-d.entitled, d.entitled) }

func distancesTable(list []distance) [][]string {
	rows := [][]string{{"phase", "measure", "team", "share", "demand", "entitled", "used", "distance", "worst_shortfall", "samples"}}
	for _, d := range list {
		rows = append(rows, []string{d.phase, d.metric, d.team, formatFloat(d.share), formatFloat(d.demand), formatFloat(d.entitled),
			formatFloat(d.used), formatFloat(d.relativeDistance()), formatFloat(frac(d.worstShortfall, d.entitled)), strconv.Itoa(d.samples)})
	}
	return rows
}

func phasesTable(phases []phase, roles []string) [][]string {
	header := []string{"phase", "seconds", "started_per_s", "completed_per_s", "slots_mean", "dominant_mean"}
	for _, role := range roles {
		header = append(header, role+"_cores", role+"_largest_bytes", role+"_resident_bytes", role+"_bytes_per_s")
	}
	rows := [][]string{append(header, "store_calls_per_s")}
	for _, p := range phases {
		row := []string{p.name, formatFloat(p.seconds()), formatFloat(p.startedRate()), formatFloat(p.doneRate()),
			formatFloat(p.mean(reading.slotUse)), formatFloat(p.mean(reading.dominantUse))}
		for _, role := range roles {
			row = append(row, formatFloat(p.cores(role)), strconv.FormatInt(p.maxResident(role), 10), formatFloat(p.meanResident(role)), formatFloat(p.ioRate(role)))
		}
		rows = append(rows, append(row, p.formatCalls()))
	}
	return rows
}

// samplesTable returns one row per sample, with two columns per team.
func samplesTable(readings []reading, phases []phase) [][]string {
	teams := teamNames(readings)
	header := []string{"s", "phase", "slots", "dominant", "started", "completed"}
	for _, team := range teams {
		header = append(header, "running_"+string(team), "dominant_"+string(team))
	}
	rows := [][]string{header}
	for _, r := range readings {
		row := []string{formatFloat(r.at.Sub(readings[0].at).Seconds()), phaseName(phases, r), formatFloat(r.slotUse()),
			formatFloat(r.dominantUse()), strconv.Itoa(r.startedTasks()), strconv.Itoa(r.doneTasks())}
		for _, team := range teams {
			t := r.totals.Teams[team]
			row = append(row, strconv.Itoa(t.Running), formatFloat(r.teamDominantUse(t)))
		}
		rows = append(rows, row)
	}
	return rows
}

// phaseName returns the name of the phase of a sample.
func phaseName(phases []phase, r reading) string {
	for _, p := range phases {
		if !r.at.Before(p.first().at) && !r.at.After(p.last().at) {
			return p.name
		}
	}
	return unreportedPhase
}

// teamNames returns the teams that occur in any sample, sorted.
func teamNames(readings []reading) []order.TeamName {
	seen := make(map[order.TeamName]bool)
	var teams []order.TeamName
	for _, r := range readings {
		for team := range r.totals.Teams {
			if !seen[team] {
				seen[team] = true
				teams = append(teams, team)
			}
		}
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i] < teams[j] })
	return teams
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }

func writeFile(name string, rows [][]string) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	err = w.WriteAll(rows)
	return errors.Join(err, file.Close())
}

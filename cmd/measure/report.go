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

// printPhases writes a table of the phases in Markdown.
func printPhases(out io.Writer, phases []phase, roles []string) {
	fmt.Fprintln(out, "| phase | s | started/s | completed/s | slots used, mean and p10 | dominant resource used, mean and p10 |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, p := range phases {
		fmt.Fprintf(out, "| %s | %.1f | %.1f | %.1f | %s | %s |\n", p.name, p.seconds(), p.startedRate(), p.doneRate(),
			p.packing(reading.slots), p.packing(reading.dominant))
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, "| phase | "+strings.Join(costHeader(roles), " | ")+" | store calls/s |")
	fmt.Fprintln(out, "|---"+strings.Repeat("|---", 4*len(roles)+1)+"|")
	for _, p := range phases {
		fmt.Fprintf(out, "| %s | %s | %s |\n", p.name, strings.Join(p.costCells(roles), " | "), p.callsText())
	}
	fmt.Fprintln(out)
}

func costHeader(roles []string) []string {
	var header []string
	for _, role := range roles {
		header = append(header, role+": cores", role+": CPU ms per start", role+": MiB of the largest", role+": KB/s read and written")
	}
	return header
}

func (p phase) costCells(roles []string) []string {
	var cells []string
	for _, role := range roles {
		perStart := "-"
		if rate := p.startedRate(); rate >= 1 {
			perStart = fmt.Sprintf("%.2f", 1000*p.cpu(role)/rate)
		}
		cells = append(cells, fmt.Sprintf("%.3f", p.cpu(role)), perStart, strconv.FormatInt(p.bytes(role)/mebibyte, 10),
			fmt.Sprintf("%.1f", p.traffic(role)/1000))
	}
	return cells
}

func (p phase) packing(value func(reading) float64) string {
	return fmt.Sprintf("%.1f%%, %.1f%%", 100*p.mean(value), 100*p.quantile(0.1, value))
}

func (p phase) callsText() string {
	rates := p.calls()
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

func printDistances(out io.Writer, list []distance) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(out, "| phase, by | team | share | demand | entitled | used | distance | worst shortfall | samples |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	for _, d := range list {
		fmt.Fprintf(out, "| %s, %s | %s | %g | %.1f%% | %.1f%% | %.1f%% | %+.1f%% | %.1f%% | %d |\n", d.phase, d.measure, d.team, d.share,
			100*d.demand, 100*d.entitled, 100*d.used, 100*d.relative(), 100*part(d.worst, d.entitled), d.samples)
	}
	fmt.Fprintln(out)
}

// relative returns the distance as a part of what the team is entitled to.
func (d distance) relative() float64 { return part(d.used-d.entitled, d.entitled) }

func distancesTable(list []distance) [][]string {
	rows := [][]string{{"phase", "measure", "team", "share", "demand", "entitled", "used", "distance", "worst_shortfall", "samples"}}
	for _, d := range list {
		rows = append(rows, []string{d.phase, d.measure, d.team, number(d.share), number(d.demand), number(d.entitled),
			number(d.used), number(d.relative()), number(part(d.worst, d.entitled)), strconv.Itoa(d.samples)})
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
		row := []string{p.name, number(p.seconds()), number(p.startedRate()), number(p.doneRate()),
			number(p.mean(reading.slots)), number(p.mean(reading.dominant))}
		for _, role := range roles {
			row = append(row, number(p.cpu(role)), strconv.FormatInt(p.bytes(role), 10), number(p.resident(role)), number(p.traffic(role)))
		}
		rows = append(rows, append(row, p.callsText()))
	}
	return rows
}

func samplesTable(readings []reading, phases []phase) [][]string {
	teams := teamsOf(readings)
	header := []string{"s", "phase", "slots", "dominant", "started", "completed"}
	for _, team := range teams {
		header = append(header, "running_"+string(team), "dominant_"+string(team))
	}
	rows := [][]string{header}
	for _, r := range readings {
		row := []string{number(r.at.Sub(readings[0].at).Seconds()), phaseAt(phases, r), number(r.slots()),
			number(r.dominant()), strconv.Itoa(r.started()), strconv.Itoa(r.done())}
		for _, team := range teams {
			t := r.totals.Teams[team]
			row = append(row, strconv.Itoa(t.Running), number(r.teamDominant(t)))
		}
		rows = append(rows, row)
	}
	return rows
}

func phaseAt(phases []phase, r reading) string {
	for _, p := range phases {
		if !r.at.Before(p.first().at) && !r.at.After(p.last().at) {
			return p.name
		}
	}
	return unreported
}

func teamsOf(readings []reading) []order.TeamName {
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

func number(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }

func writeFile(name string, rows [][]string) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	err = w.WriteAll(rows)
	return errors.Join(err, file.Close())
}

package main

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strconv"

	"github.com/tailscale/hujson"

	"chervilhollow/chart"
	"chervilhollow/order"
	"chervilhollow/sample"
)

type (
	// teamShare is what the sheet gives to a team.
	teamShare struct {
		share float64
		limit float64
	}

	// mixDocument is the part of a mix that tells the demand of the teams.
	mixDocument struct {
		Teams []struct {
			Name    string             `json:"name"`
			Weights map[string]float64 `json:"weights"`
		} `json:"teams"`
		Kinds []mixKind `json:"kinds"`
	}

	mixKind struct {
		Name    string  `json:"name"`
		Rate    float64 `json:"rate"`
		RunTime struct {
			Distribution string         `json:"distribution"`
			Mean         chart.Duration `json:"mean"`
			Min          chart.Duration `json:"min"`
			Max          chart.Duration `json:"max"`
		} `json:"run_time"`
		Tasks    mixRange `json:"tasks"`
		Cores    mixRange `json:"cores"`
		MemoryMB mixRange `json:"memory_mb"`
	}

	mixRange struct {
		Min float64 `json:"min"`
		Max float64 `json:"max"`
	}

	// distance compares what a team used with what its share entitles it to.
	distance struct {
		phase    string
		measure  string
		team     string
		share    float64
		demand   float64
		entitled float64
		used     float64
		worst    float64
		samples  int
	}

	// measure is a way to express use as a part of the cell.
	measure struct {
		name string
		used func(reading, sample.TeamTotals) float64
		// limit returns the upper limit of a team as a part of the cell.
		limit func(reading, teamShare) float64
	}

	demand struct{ tasks, cores, memory float64 }
)

var measures = []measure{
	{
		name:  "slots",
		used:  func(r reading, t sample.TeamTotals) float64 { return part(float64(t.Running), float64(r.totals.Slots)) },
		limit: func(r reading, s teamShare) float64 { return part(s.limit, float64(r.totals.Slots)) },
	},
	{
		name:  "dominant resource",
		used:  reading.teamDominant,
		limit: func(reading, teamShare) float64 { return 1 },
	},
}

func (o *options) distances(phases []phase) ([]distance, error) {
	var list []distance
	if len(o.shares) == 0 {
		return nil, nil
	}
	shares, err := readShares(o.sheet)
	if err != nil {
		return nil, err
	}
	for _, p := range phases {
		file, ok := o.shares[p.name]
		if !ok {
			continue
		}
		demands, err := readDemands(file)
		if err != nil {
			return nil, err
		}
		for _, m := range measures {
			list = append(list, p.distances(m, o.full, shares, demands)...)
		}
	}
	return list, nil
}

func readShares(file string) (map[string]teamShare, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	rows, err := csv.NewReader(bytes.NewReader(data)).ReadAll()
	if err != nil {
		return nil, err
	}
	shares := make(map[string]teamShare)
	for _, row := range rows {
		s := shares[row[1]]
		switch row[0] {
		case "share":
			s.share, err = strconv.ParseFloat(row[2], 64)
		case "limit":
			s.limit, err = strconv.ParseFloat(row[2], 64)
		default:
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		shares[row[1]] = s
	}
	return shares, nil
}

// readDemands returns the mean use that the mix offers per team if nothing
// ever waits.
func readDemands(file string) (map[string]demand, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	var mix mixDocument
	if err := json.Unmarshal(standard, &mix); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	demands := make(map[string]demand)
	for _, k := range mix.Kinds {
		mix.addDemand(demands, k)
	}
	return demands, nil
}

func (m mixDocument) addDemand(demands map[string]demand, k mixKind) {
	total := 0.0
	for _, t := range m.Teams {
		total += weightOf(t.Weights, k.Name)
	}
	for _, t := range m.Teams {
		tasks := k.Rate * part(weightOf(t.Weights, k.Name), total) * k.seconds() * max(1, k.Tasks.mean())
		d := demands[t.Name]
		d.tasks += tasks
		d.cores += tasks * k.Cores.mean()
		d.memory += tasks * k.MemoryMB.mean()
		demands[t.Name] = d
	}
}

func weightOf(weights map[string]float64, kind string) float64 {
	if w, ok := weights[kind]; ok {
		return w
	}
	return 1
}

func (k mixKind) seconds() float64 {
	if k.RunTime.Distribution == "uniform" {
		return (float64(k.RunTime.Min) + float64(k.RunTime.Max)) / 2 / 1e9
	}
	return float64(k.RunTime.Mean) / 1e9
}

func (r mixRange) mean() float64 { return (r.Min + max(r.Min, r.Max)) / 2 }

// asTotals returns the demand as if it all ran.
func (d demand) asTotals() sample.TeamTotals {
	return sample.TeamTotals{
		Running:    int(d.tasks + 0.5),
		MilliCores: order.MilliCores(d.cores * 1000),
		MemoryMB:   int64(d.memory),
	}
}

// distances compares use and entitlement over the samples in which the cell
// was full.
func (p phase) distances(m measure, full float64, shares map[string]teamShare, demands map[string]demand) []distance {
	sums := make(map[string]*distance)
	samples := 0
	for _, r := range p.readings {
		if max(r.slots(), r.dominant()) < full {
			continue
		}
		samples++
		entitled := m.entitled(r, shares, demands)
		for team, d := range demands {
			s := sums[team]
			if s == nil {
				s = &distance{phase: p.name, measure: m.name, team: team, share: shares[team].share, demand: m.used(r, d.asTotals())}
				sums[team] = s
			}
			used := m.used(r, r.totals.Teams[order.TeamName(team)])
			s.entitled += entitled[team]
			s.used += used
			s.worst = max(s.worst, entitled[team]-used)
			s.samples++
		}
	}
	return ordered(sums)
}

func ordered(sums map[string]*distance) []distance {
	list := make([]distance, 0, len(sums))
	for _, s := range sums {
		s.entitled /= float64(s.samples)
		s.used /= float64(s.samples)
		list = append(list, *s)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].share != list[j].share {
			return list[i].share > list[j].share
		}
		return list[i].team < list[j].team
	})
	return list
}

// entitled divides what is in use now by the shares: a team that wants less
// than its part, or may not run more, leaves the rest to the others.
func (m measure) entitled(r reading, shares map[string]teamShare, demands map[string]demand) map[string]float64 {
	left := 0.0
	caps := make(map[string]float64)
	for team, d := range demands {
		left += m.used(r, r.totals.Teams[order.TeamName(team)])
		caps[team] = min(m.used(r, d.asTotals()), m.limit(r, shares[team]))
	}
	entitled := make(map[string]float64)
	for len(caps) > 0 {
		weights := 0.0
		for team := range caps {
			weights += shares[team].share
		}
		team, ok := satisfied(caps, shares, left/weights)
		if !ok {
			for team := range caps {
				entitled[team] = left / weights * shares[team].share
			}
			return entitled
		}
		entitled[team] = caps[team]
		left -= caps[team]
		delete(caps, team)
	}
	return entitled
}

// satisfied returns a team that wants no more than its part.
func satisfied(caps map[string]float64, shares map[string]teamShare, unit float64) (string, bool) {
	for team, most := range caps {
		if most <= unit*shares[team].share {
			return team, true
		}
	}
	return "", false
}

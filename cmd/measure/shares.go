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

	"chervilhollow/order"
	"chervilhollow/settings"
	"chervilhollow/simulator"
)

type (
	// teamShare is a team's fair-share weight and its limit of running tasks in
	// the planners' sheet.
	teamShare struct {
		share float64
		limit float64
	}

	// mixDocument is the part of a mix file of the load tool from which the
	// demand of the teams is computed.
	mixDocument struct {
		Teams []struct {
			Name    string             `json:"name"`
			Weights map[string]float64 `json:"weights"`
		} `json:"teams"`
		Kinds []mixKind `json:"kinds"`
	}

	// mixKind is a kind of requests of a mix, with its arrivals per second.
	mixKind struct {
		Name    string  `json:"name"`
		Rate    float64 `json:"rate"`
		RunTime struct {
			Distribution string            `json:"distribution"`
			Mean         settings.Duration `json:"mean"`
			Min          settings.Duration `json:"min"`
			Max          settings.Duration `json:"max"`
		} `json:"run_time"`
		Tasks    mixRange `json:"tasks"`
		Cores    mixRange `json:"cores"`
		MemoryMB mixRange `json:"memory_mb"`
	}

	mixRange struct {
		Min float64 `json:"min"`
		Max float64 `json:"max"`
	}

	// distance compares what a team used in a phase with its fair share.
	// Demand, entitled, used and worstShortfall are fractions of the cell;
	// entitled and used are means over the samples in which the cell was full.
	distance struct {
		phase          string
		metric         string
		team           string
		share          float64
		demand         float64
		entitled       float64
		used           float64
		worstShortfall float64
		samples        int
	}

	// metric is a way to express use as a fraction of the cell.
	metric struct {
		name string
		used func(reading, simulator.TeamTotals) float64
		// limit returns the upper limit of a team as a fraction of the cell.
		limit func(reading, teamShare) float64
	}

	// demand is the mean number of tasks of a team that would run at once if
	// none had to wait, and the mean cores and memory_mb that they declare.
	demand struct{ tasks, cores, memory float64 }
)

var metrics = []metric{
	{
		name: "slots",
		used: func(r reading, t simulator.TeamTotals) float64 {
			return frac(float64(t.Running), float64(r.totals.Slots))
		},
		limit: func(r reading, s teamShare) float64 { return frac(s.limit, float64(r.totals.Slots)) },
	},
	{
		name:  "dominant resource",
		used:  reading.teamDominantUse,
		limit: func(reading, teamShare) float64 { return 1 },
	},
}

// distances returns the distances of all phases for which a mix was given.
func (o *options) distances(phases []phase) ([]distance, error) {
	var list []distance
	if len(o.mixByPhase) == 0 {
		return nil, nil
	}
	shares, err := readShares(o.sheetFile)
	if err != nil {
		return nil, err
	}
	for _, p := range phases {
		file, ok := o.mixByPhase[p.name]
		if !ok {
			continue
		}
		demands, err := readDemands(file)
		if err != nil {
			return nil, err
		}
		for _, m := range metrics {
			list = append(list, p.distances(m, o.fullThreshold, shares, demands)...)
		}
	}
	return list, nil
}

// readShares reads the shares and limits of the teams from the planners' sheet.
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

// readDemands returns the demand of each team under the mix.
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

// addDemand adds the demand of one kind. By Little's law the mean number of
// running tasks is the arrival rate times the mean run time.
func (m mixDocument) addDemand(demands map[string]demand, k mixKind) {
	total := 0.0
	for _, t := range m.Teams {
		total += teamWeight(t.Weights, k.Name)
	}
	for _, t := range m.Teams {
		tasks := k.Rate * frac(teamWeight(t.Weights, k.Name), total) * k.meanSeconds() * max(1, k.Tasks.mean())
		d := demands[t.Name]
		d.tasks += tasks
		d.cores += tasks * k.Cores.mean()
		d.memory += tasks * k.MemoryMB.mean()
		demands[t.Name] = d
	}
}

// teamWeight returns the weight of a team for a kind: 1 if the mix has none.
func teamWeight(weights map[string]float64, kind string) float64 {
	if w, ok := weights[kind]; ok {
		return w
	}
	return 1
}

// meanSeconds returns the mean run time, without the bounds min and max of the
// distributions that are not uniform.
func (k mixKind) meanSeconds() float64 {
	if k.RunTime.Distribution == "uniform" {
		return (float64(k.RunTime.Min) + float64(k.RunTime.Max)) / 2 / 1e9
	}
	return float64(k.RunTime.Mean) / 1e9
}

func (r mixRange) mean() float64 { return (r.Min + max(r.Min, r.Max)) / 2 }

// totals returns the totals of a team whose whole demand runs.
func (d demand) totals() simulator.TeamTotals {
	return simulator.TeamTotals{
		Running:    int(d.tasks + 0.5),
		MilliCores: order.MilliCores(d.cores * 1000),
		MemoryMB:   int64(d.memory),
	}
}

// distances compares use and entitlement over the samples in which the cell was
// full. In the other samples every team's demand can be met.
func (p phase) distances(m metric, fullThreshold float64, shares map[string]teamShare, demands map[string]demand) []distance {
	byTeam := make(map[string]*distance)
	fullSamples := 0
	for _, r := range p.readings {
		if max(r.slotUse(), r.dominantUse()) < fullThreshold {
			continue
		}
		fullSamples++
		entitled := m.entitlements(r, shares, demands)
		for team, d := range demands {
			s := byTeam[team]
			if s == nil {
				s = &distance{phase: p.name, metric: m.name, team: team, share: shares[team].share, demand: m.used(r, d.totals())}
				byTeam[team] = s
			}
			used := m.used(r, r.totals.Teams[order.TeamName(team)])
			s.entitled += entitled[team]
			s.used += used
			s.worstShortfall = max(s.worstShortfall, entitled[team]-used)
			s.samples++
		}
	}
	return averageDistances(byTeam)
}

// averageDistances turns sums into means and orders the teams by share, the
// largest first.
func averageDistances(byTeam map[string]*distance) []distance {
	list := make([]distance, 0, len(byTeam))
	for _, s := range byTeam {
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

// entitlements divides the present use of the cell by weighted max-min
// fairness: no team gets more than its demand or limit, and what it leaves is
// divided among the others by their shares.
func (m metric) entitlements(r reading, shares map[string]teamShare, demands map[string]demand) map[string]float64 {
	remaining := 0.0
	caps := make(map[string]float64)
	for team, d := range demands {
		remaining += m.used(r, r.totals.Teams[order.TeamName(team)])
		caps[team] = min(m.used(r, d.totals()), m.limit(r, shares[team]))
	}
	entitled := make(map[string]float64)
	for len(caps) > 0 {
		weights := 0.0
		for team := range caps {
			weights += shares[team].share
		}
		team, ok := findSatisfied(caps, shares, remaining/weights)
		if !ok {
			for team := range caps {
				entitled[team] = remaining / weights * shares[team].share
			}
			return entitled
		}
		entitled[team] = caps[team]
		remaining -= caps[team]
		delete(caps, team)
	}
	return entitled
}

// findSatisfied returns a team whose demand or limit does not exceed its share
// of the remaining use, which is unit per share.
func findSatisfied(caps map[string]float64, shares map[string]teamShare, unit float64) (string, bool) {
	for team, limit := range caps {
		if limit <= unit*shares[team].share {
			return team, true
		}
	}
	return "", false
}

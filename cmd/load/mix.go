package main

import (
	"fmt"
	"math"
	"sort"
	"time"

	"chervilhollow/order"
	"chervilhollow/settings"
)

type (
	// mixDocument is the mix file, which describes a load. The help tags are
	// printed by --help.
	mixDocument struct {
		Seed     uint64            `json:"seed" help:"the same seed generates the same load"`
		Duration settings.Duration `json:"duration" help:"how long requests are sent"`
		Drain    settings.Duration `json:"drain" help:"how long to wait for answers after the last request"`
		Gates    []string          `json:"gates" help:"URLs of the gates, used round robin"`
		Delay    settings.Duration `json:"delay" help:"one-way delay between callers and gates, added to each call in both directions"`
		InFlight int               `json:"in_flight" help:"requests that may be open at once"`
		Resend   bool              `json:"resend" help:"send again to the next gate after a failed call or a code that allows it"`
		Teams    []teamDocument    `json:"teams" help:"teams that send"`
		Kinds    []kindDocument    `json:"kinds" help:"kinds of requests"`
	}

	// teamDocument is a team and its part of the load.
	teamDocument struct {
		Name    string             `json:"name" help:"name in the report"`
		Key     string             `json:"key" help:"key of the team"`
		Weights map[string]float64 `json:"weights" help:"weight of the team for each kind; 1 for a kind that is not named"`
	}

	// kindDocument describes the requests of one kind. Values that are ranges
	// are drawn uniformly for each request.
	kindDocument struct {
		Name           string            `json:"name" help:"name in the report"`
		Kind           string            `json:"kind" help:"batch, preview, service or gang"`
		Rate           float64           `json:"rate" help:"arrivals per second of all teams"`
		RunTime        runTimeDocument   `json:"run_time" help:"run time of a task"`
		Tasks          rangeDocument     `json:"tasks" help:"tasks of a gang or service"`
		Cores          rangeDocument     `json:"cores" help:"declared cores"`
		MemoryMB       rangeDocument     `json:"memory_mb" help:"declared memory"`
		Accelerators   rangeDocument     `json:"accelerators" help:"declared accelerators"`
		PayloadBytes   rangeDocument     `json:"payload_bytes" help:"padding of the payload"`
		UseFactor      rangeDocument     `json:"use_factor" help:"real use as a multiple of the declared size"`
		Deadline       settings.Duration `json:"deadline" help:"deadline of the request"`
		Idempotent     bool              `json:"idempotent" help:"may run more than once"`
		Detached       bool              `json:"detached" help:"ask for the result by ID"`
		Urgent         bool              `json:"urgent" help:"is placed before the team's other requests"`
		Checkpoint     bool              `json:"checkpoint" help:"tasks can be checkpointed"`
		GateIDs        bool              `json:"gate_ids" help:"let the gate choose the ID; such requests are not sent again"`
		FailFraction   float64           `json:"fail_fraction" help:"fraction of requests whose tasks fail"`
		CancelFraction float64           `json:"cancel_fraction" help:"fraction of requests that are cancelled"`
		CancelAfter    settings.Duration `json:"cancel_after" help:"time from the arrival to the cancellation"`
	}

	// runTimeDocument is a distribution of run times. Min and Max also bound
	// the values of the other distributions; a Max of zero is no bound.
	runTimeDocument struct {
		Distribution string            `json:"distribution" help:"constant, uniform, exponential or lognormal"`
		Mean         settings.Duration `json:"mean" help:"mean"`
		Min          settings.Duration `json:"min" help:"shortest"`
		Max          settings.Duration `json:"max" help:"longest"`
		Sigma        float64           `json:"sigma" help:"shape of a lognormal distribution"`
	}

	// rangeDocument is a range of values, both ends included.
	rangeDocument struct {
		Min float64 `json:"min" help:"smallest value"`
		Max float64 `json:"max" help:"largest value; the smallest one if it is missing"`
	}
)

const (
	defaultDrain    = time.Minute
	defaultInFlight = 20000
	defaultDeadline = 30 * time.Second
	constant        = "constant"
	uniform         = "uniform"
	exponential     = "exponential"
	lognormal       = "lognormal"
)

// parseMix decodes a mix, sets its defaults and checks it. The error lists all
// faults with their lines; file is the name that it gives for the mix.
func parseMix(file string, data []byte) (mixDocument, error) {
	m := mixDocument{Drain: settings.Duration(defaultDrain), InFlight: defaultInFlight}
	c := settings.Decode(file, data, &m)
	c.Positive("duration", float64(m.Duration))
	c.Positive("in_flight", float64(m.InFlight))
	if len(m.Gates) == 0 {
		c.Fault("gates", "name at least one gate")
	}
	for i, gate := range m.Gates {
		c.URL(fmt.Sprintf("gates[%d]", i), gate)
	}
	if len(m.Kinds) == 0 {
		c.Fault("kinds", "name at least one kind")
	}
	checkTeams(c, m)
	for i := range m.Kinds {
		m.Kinds[i].setDefaults()
		m.Kinds[i].check(c, fmt.Sprintf("kinds[%d]", i))
	}
	return m, c.Err()
}

func checkTeams(c *settings.Checker, m mixDocument) {
	if len(m.Teams) == 0 {
		c.Fault("teams", "name at least one team")
	}
	known := make(map[string]bool)
	for _, k := range m.Kinds {
		known[k.Name] = true
	}
	for i, t := range m.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		c.Required(path+".name", t.Name)
		c.Required(path+".key", t.Key)
		for _, name := range sortedKeys(t.Weights) {
			if !known[name] {
				c.Fault(path+".weights."+name, "no such kind")
			}
			if t.Weights[name] < 0 {
				c.Fault(path+".weights."+name, "must not be below zero")
			}
		}
	}
}

func sortedKeys(m map[string]float64) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// setDefaults fills in the fields that the mix leaves out.
func (k *kindDocument) setDefaults() {
	if k.Deadline == 0 {
		k.Deadline = settings.Duration(defaultDeadline)
	}
	if k.RunTime.Distribution == "" {
		k.RunTime.Distribution = constant
	}
	for _, r := range []*rangeDocument{&k.Tasks, &k.Cores, &k.MemoryMB, &k.Accelerators, &k.PayloadBytes, &k.UseFactor} {
		r.Max = max(r.Max, r.Min)
	}
	for _, r := range []*rangeDocument{&k.Tasks, &k.Cores, &k.MemoryMB, &k.UseFactor} {
		if r.Max == 0 {
			r.Min, r.Max = 1, 1
		}
	}
}

func (k *kindDocument) check(c *settings.Checker, path string) {
	c.Required(path+".name", k.Name)
	if _, err := order.ParseKind(k.Kind); err != nil {
		c.Fault(path+".kind", "%s", err)
	}
	c.Positive(path+".rate", k.Rate)
	k.RunTime.check(c, path+".run_time")
	for name, r := range map[string]rangeDocument{
		"tasks": k.Tasks, "cores": k.Cores, "memory_mb": k.MemoryMB, "accelerators": k.Accelerators,
		"payload_bytes": k.PayloadBytes, "use_factor": k.UseFactor,
	} {
		if r.Min < 0 {
			c.Fault(path+"."+name, "must not be below zero")
		}
	}
	for name, fraction := range map[string]float64{"fail_fraction": k.FailFraction, "cancel_fraction": k.CancelFraction} {
		if fraction < 0 || fraction > 1 {
			c.Fault(path+"."+name, "must be between 0 and 1")
		}
	}
	if k.GateIDs && (k.Detached || k.CancelFraction > 0) {
		c.Fault(path+".gate_ids", "detached or cancelled requests need an ID of their own")
	}
	if k.Kind == order.Service.String() && !k.Detached {
		c.Fault(path+".detached", "a service must be detached")
	}
}

func (t runTimeDocument) check(c *settings.Checker, path string) {
	switch t.Distribution {
	case constant, exponential, lognormal:
		c.Positive(path+".mean", float64(t.Mean))
	case uniform:
		if t.Max < t.Min {
			c.Fault(path+".max", "must be at least min")
		}
	default:
		c.Fault(path+".distribution", "want constant, uniform, exponential or lognormal, got %q", t.Distribution)
	}
	if t.Sigma < 0 || math.IsNaN(t.Sigma) {
		c.Fault(path+".sigma", "must not be below zero")
	}
}

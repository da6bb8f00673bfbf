package main

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhollow/order"
)

type (
	// arrival is one request of the load.
	arrival struct {
		at       time.Duration
		kind     int
		team     int
		gate     int
		serial   int
		result   string
		fails    bool
		cancelAt time.Duration
		request  requestDocument
	}

	// requestDocument is the body that callers send to a gate.
	requestDocument struct {
		ID           string  `json:"id,omitempty"`
		Kind         string  `json:"kind"`
		Tasks        int     `json:"tasks,omitempty"`
		Idempotent   bool    `json:"idempotent,omitempty"`
		Detached     bool    `json:"detached,omitempty"`
		Urgent       bool    `json:"urgent,omitempty"`
		Checkpoint   bool    `json:"checkpoint,omitempty"`
		DeadlineMS   int64   `json:"deadline_ms,omitempty"`
		Cores        float64 `json:"cores"`
		MemoryMB     int64   `json:"memory_mb"`
		Accelerators int     `json:"accelerators,omitempty"`
		Payload      []byte  `json:"payload"`
	}

	// planDocument is the payload: it tells the worker stand-in how long a
	// task runs, what it uses and what it answers.
	planDocument struct {
		RunMS  int64       `json:"run_ms"`
		Result string      `json:"result"`
		Fail   bool        `json:"fail,omitempty"`
		Use    useDocument `json:"use"`
		Pad    string      `json:"pad,omitempty"`
	}

	useDocument struct {
		Cores        float64 `json:"cores"`
		MemoryMB     int64   `json:"memory_mb"`
		Accelerators int     `json:"accelerators"`
	}

	// generator makes the arrivals of one kind.
	generator struct {
		mix     *mixDocument
		kind    int
		rand    *rand.Rand
		weights []float64
		total   float64
	}
)

// stream separates the random numbers of the kinds, so that a change of one
// kind leaves the arrivals of the others alone.
const stream = 0x9e3779b97f4a7c15

// schedule returns all arrivals of the mix in order of time.
func schedule(m *mixDocument) []arrival {
	var all []arrival
	for kind := range m.Kinds {
		all = append(all, newGenerator(m, kind).arrivals()...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	for i := range all {
		all[i].serial = i
		all[i].gate = i % len(m.Gates)
	}
	return all
}

// digest returns a number that is the same for the same load.
func digest(all []arrival) uint64 {
	h := xxhash.New()
	for _, a := range all {
		fmt.Fprintln(h, a.at, a.kind, a.team, a.gate, a.cancelAt, a.request)
	}
	return h.Sum64()
}

func newGenerator(m *mixDocument, kind int) *generator {
	g := &generator{mix: m, kind: kind, rand: rand.New(rand.NewPCG(m.Seed, stream*uint64(kind+1)))}
	for _, t := range m.Teams {
		weight, ok := t.Weights[m.Kinds[kind].Name]
		if !ok {
			weight = 1
		}
		g.total += weight
		g.weights = append(g.weights, weight)
	}
	return g
}

// arrivals returns a Poisson process over the duration of the mix.
func (g *generator) arrivals() []arrival {
	if g.total == 0 {
		return nil
	}
	var all []arrival
	mean := float64(time.Second) / g.mix.Kinds[g.kind].Rate
	for at := time.Duration(g.rand.ExpFloat64() * mean); at < time.Duration(g.mix.Duration); at += time.Duration(g.rand.ExpFloat64() * mean) {
		all = append(all, g.arrival(at, len(all)))
	}
	return all
}

func (g *generator) arrival(at time.Duration, number int) arrival {
	k := &g.mix.Kinds[g.kind]
	a := arrival{at: at, kind: g.kind, team: g.team()}
	a.result = fmt.Sprintf("%d/%s/%d/%x", g.mix.Seed, k.Name, number, g.rand.Uint64())
	a.fails = g.rand.Float64() < k.FailFraction
	if g.rand.Float64() < k.Cancel {
		a.cancelAt = at + time.Duration(k.CancelAfter)
	}
	a.request = g.request(k, a)
	return a
}

func (g *generator) request(k *kindDocument, a arrival) requestDocument {
	r := requestDocument{
		Kind: k.Kind, Idempotent: k.Idempotent, Detached: k.Detached, Urgent: k.Urgent, Checkpoint: k.Checkpoint,
		DeadlineMS:   time.Duration(k.Deadline).Milliseconds(),
		Tasks:        g.whole(k.Tasks),
		Cores:        math.Round(g.pick(k.Cores)*1000) / 1000,
		MemoryMB:     int64(max(1, g.whole(k.MemoryMB))),
		Accelerators: g.whole(k.Accelerators),
	}
	if k.Kind != order.Gang.String() && k.Kind != order.Service.String() {
		r.Tasks = 0
	}
	factor := g.pick(k.UseFactor)
	plan := planDocument{
		RunMS: g.runTime(k.RunTime).Milliseconds(), Result: a.result, Fail: a.fails,
		Use: useDocument{
			Cores: r.Cores * factor, MemoryMB: int64(float64(r.MemoryMB) * factor), Accelerators: r.Accelerators,
		},
		Pad: strings.Repeat(".", g.whole(k.PayloadBytes)),
	}
	payload, err := json.Marshal(plan)
	if err != nil {
		panic(err)
	}
	r.Payload = payload
	return r
}

func (g *generator) team() int {
	at := g.rand.Float64() * g.total
	for i, weight := range g.weights {
		if at < weight {
			return i
		}
		at -= weight
	}
	return len(g.weights) - 1
}

func (g *generator) pick(r rangeDocument) float64 { return r.Min + g.rand.Float64()*(r.Max-r.Min) }

// whole returns a whole number of the range, both ends included.
func (g *generator) whole(r rangeDocument) int {
	return int(r.Min) + g.rand.IntN(int(r.Max)-int(r.Min)+1)
}

func (g *generator) runTime(t timeDocument) time.Duration {
	mean := float64(t.Mean)
	var d float64
	switch t.Distribution {
	case exponential:
		d = g.rand.ExpFloat64() * mean
	case lognormal:
		// The location is shifted so that the mean is the given one.
		d = mean * math.Exp(t.Sigma*g.rand.NormFloat64()-t.Sigma*t.Sigma/2)
	case uniform:
		d = g.pick(rangeDocument{Min: float64(t.Min), Max: float64(t.Max)})
	default:
		d = mean
	}
	if t.Max > 0 {
		d = math.Min(d, float64(t.Max))
	}
	return time.Duration(math.Max(d, float64(t.Min)))
}

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
	// arrival is one request of the load. The offsets count from the start of
	// the run; cancelOffset is zero if the request is not cancelled. Kind, team
	// and gate are indexes into the mix.
	arrival struct {
		offset       time.Duration
		kind         int
		team         int
		gate         int
		serial       int
		wantResult   string
		shouldFail   bool
		cancelOffset time.Duration
		request      requestDocument
	}

	// requestDocument is the body of a request to a gate.
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

	// payloadDocument is the payload of a request. The worker stand-in reads
	// from it how long a task runs, what it uses and what its result is.
	payloadDocument struct {
		RunMS  int64         `json:"run_ms"`
		Result string        `json:"result"`
		Fail   bool          `json:"fail,omitempty"`
		Use    usageDocument `json:"use"`
		Pad    string        `json:"pad,omitempty"`
	}

	// usageDocument is what a task really uses, as opposed to the declared
	// size.
	usageDocument struct {
		Cores        float64 `json:"cores"`
		MemoryMB     int64   `json:"memory_mb"`
		Accelerators int     `json:"accelerators"`
	}

	// generator makes the arrivals of one kind. The weights are those of the
	// teams.
	generator struct {
		mix         *mixDocument
		kind        int
		rng         *rand.Rand
		weights     []float64
		totalWeight float64
	}
)

// seedStride gives each kind its own random stream, so that a change of one
// kind does not change the arrivals of the others.
const seedStride = 0x9e3779b97f4a7c15

// schedule generates all arrivals of the mix, in order of time. They are
// assigned to the gates round robin.
func schedule(m *mixDocument) []arrival {
	var arrivals []arrival
	for kind := range m.Kinds {
		arrivals = append(arrivals, newGenerator(m, kind).arrivals()...)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].offset < arrivals[j].offset })
	for i := range arrivals {
		arrivals[i].serial = i
		arrivals[i].gate = i % len(m.Gates)
	}
	return arrivals
}

// digest returns a hash of the arrivals, by which reports of the same load can
// be recognised.
func digest(arrivals []arrival) uint64 {
	h := xxhash.New()
	for _, a := range arrivals {
		fmt.Fprintln(h, a.offset, a.kind, a.team, a.gate, a.cancelOffset, a.request)
	}
	return h.Sum64()
}

func newGenerator(m *mixDocument, kind int) *generator {
	g := &generator{mix: m, kind: kind, rng: rand.New(rand.NewPCG(m.Seed, seedStride*uint64(kind+1)))}
	for _, t := range m.Teams {
		weight, ok := t.Weights[m.Kinds[kind].Name]
		if !ok {
			weight = 1
		}
		g.totalWeight += weight
		g.weights = append(g.weights, weight)
	}
	return g
}

// arrivals generates a Poisson process over the duration of the mix.
func (g *generator) arrivals() []arrival {
	if g.totalWeight == 0 {
		return nil
	}
	var arrivals []arrival
	meanGap := float64(time.Second) / g.mix.Kinds[g.kind].Rate
	for at := time.Duration(g.rng.ExpFloat64() * meanGap); at < time.Duration(g.mix.Duration); at += time.Duration(g.rng.ExpFloat64() * meanGap) {
		arrivals = append(arrivals, g.newArrival(at, len(arrivals)))
	}
	return arrivals
}

func (g *generator) newArrival(at time.Duration, index int) arrival {
	k := &g.mix.Kinds[g.kind]
	a := arrival{offset: at, kind: g.kind, team: g.pickTeam()}
	a.wantResult = fmt.Sprintf("%d/%s/%d/%x", g.mix.Seed, k.Name, index, g.rng.Uint64())
	a.shouldFail = g.rng.Float64() < k.FailFraction
	if g.rng.Float64() < k.CancelFraction {
		a.cancelOffset = at + time.Duration(k.CancelAfter)
	}
	a.request = g.newRequest(k, a)
	return a
}

// newRequest draws the body of a request. Only gangs and services declare a
// number of tasks.
func (g *generator) newRequest(k *kindDocument, a arrival) requestDocument {
	r := requestDocument{
		Kind: k.Kind, Idempotent: k.Idempotent, Detached: k.Detached, Urgent: k.Urgent, Checkpoint: k.Checkpoint,
		DeadlineMS:   time.Duration(k.Deadline).Milliseconds(),
		Tasks:        g.pickInt(k.Tasks),
		Cores:        math.Round(g.pickFloat(k.Cores)*1000) / 1000,
		MemoryMB:     int64(max(1, g.pickInt(k.MemoryMB))),
		Accelerators: g.pickInt(k.Accelerators),
	}
	if k.Kind != order.Gang.String() && k.Kind != order.Service.String() {
		r.Tasks = 0
	}
	factor := g.pickFloat(k.UseFactor)
	document := payloadDocument{
		RunMS: g.pickRunTime(k.RunTime).Milliseconds(), Result: a.wantResult, Fail: a.shouldFail,
		Use: usageDocument{
			Cores: r.Cores * factor, MemoryMB: int64(float64(r.MemoryMB) * factor), Accelerators: r.Accelerators,
		},
		Pad: strings.Repeat(".", g.pickInt(k.PayloadBytes)),
	}
	payload, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	r.Payload = payload
	return r
}

// pickTeam draws a team by its weight.
func (g *generator) pickTeam() int {
	point := g.rng.Float64() * g.totalWeight
	for i, weight := range g.weights {
		if point < weight {
			return i
		}
		point -= weight
	}
	return len(g.weights) - 1
}

func (g *generator) pickFloat(r rangeDocument) float64 { return r.Min + g.rng.Float64()*(r.Max-r.Min) }

// pickInt draws an integer of the range, both ends included.
func (g *generator) pickInt(r rangeDocument) int {
	return int(r.Min) + g.rng.IntN(int(r.Max)-int(r.Min)+1)
}

func (g *generator) pickRunTime(t runTimeDocument) time.Duration {
	mean := float64(t.Mean)
	var d float64
	switch t.Distribution {
	case exponential:
		d = g.rng.ExpFloat64() * mean
	case lognormal:
		// Without the term -sigma²/2 the mean would be exp(sigma²/2) times
		// the given one.
		d = mean * math.Exp(t.Sigma*g.rng.NormFloat64()-t.Sigma*t.Sigma/2)
	case uniform:
		d = g.pickFloat(rangeDocument{Min: float64(t.Min), Max: float64(t.Max)})
	default:
		d = mean
	}
	if t.Max > 0 {
		d = math.Min(d, float64(t.Max))
	}
	return time.Duration(math.Max(d, float64(t.Min)))
}

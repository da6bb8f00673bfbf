package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Hosts is the client of the platform's host list. It keeps the last
	// answer while the list is not reachable.
	Hosts struct {
		url      string
		clock    tide.Clock
		log      zerolog.Logger
		interval time.Duration
		client   *http.Client

		mu      sync.RWMutex
		fetched time.Time
		workers map[order.WorkerID]Worker
		entries []EntryHost
	}

	// HostsOption changes a Hosts when it is made.
	HostsOption func(*Hosts)

	// EntryHost is a host on which gates and placers run.
	EntryHost struct {
		address string
		domain  order.DomainName
	}

	hostsDocument struct {
		Workers    []workerDocument    `json:"workers"`
		EntryHosts []entryHostDocument `json:"entry_hosts"`
	}

	workerDocument struct {
		ID           string  `json:"id"`
		URL          string  `json:"url"`
		Domain       string  `json:"domain"`
		Rack         string  `json:"rack"`
		Cores        float64 `json:"cores"`
		Memory       int64   `json:"memory"`
		Accelerators int     `json:"accelerators"`
		Slots        int     `json:"slots"`
		Connections  int     `json:"connections"`
		Fenced       bool    `json:"fenced"`
		State        string  `json:"state"`
	}

	entryHostDocument struct {
		Address string `json:"address"`
		Domain  string `json:"domain"`
	}
)

const (
	hostsPath         = "/v1/hosts"
	hostsInterval     = time.Second
	hostsCallTimeout  = time.Second
	hostsAnswerLimit  = 16 << 20
	stateLive         = "live"
	milliCoresPerCore = 1000
)

// WithHostsInterval sets how often the list is fetched.
func WithHostsInterval(interval time.Duration) HostsOption {
	return func(h *Hosts) { h.interval = interval }
}

// WithHostsLog sets the log.
func WithHostsLog(log zerolog.Logger) HostsOption {
	return func(h *Hosts) { h.log = log }
}

// NewHosts returns a client of the host list at the base URL.
func NewHosts(url string, clock tide.Clock, opts ...HostsOption) *Hosts {
	h := &Hosts{
		url:      strings.TrimSuffix(url, "/"),
		clock:    clock,
		log:      zerolog.Nop(),
		interval: hostsInterval,
		client:   &http.Client{Timeout: hostsCallTimeout, Transport: &http.Transport{}},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// NewEntryHost returns an entry host.
func NewEntryHost(address string, domain order.DomainName) EntryHost {
	return EntryHost{address: address, domain: domain}
}

// Address returns the address of the host, with or without a port.
func (e EntryHost) Address() string { return e.address }

// Domain returns the failure domain of the host.
func (e EntryHost) Domain() order.DomainName { return e.domain }

// Run fetches the list at the interval until the context ends.
func (h *Hosts) Run(ctx context.Context) error {
	defer h.client.CloseIdleConnections()
	ticks := h.clock.Subscribe(h.interval)
	defer ticks.Close()
	for {
		if err := h.Fetch(ctx); err != nil && ctx.Err() == nil {
			h.log.Warn().Err(err).Msg("roster: host list not reachable, keeping the last one")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
		}
	}
}

// Fetch fetches the list once.
func (h *Hosts) Fetch(ctx context.Context) error {
	asked := h.clock.Now()
	document, err := h.get(ctx)
	if err != nil {
		return fmt.Errorf("fetch host list: %w", err)
	}
	workers := make(map[order.WorkerID]Worker, len(document.Workers))
	for _, d := range document.Workers {
		workers[order.WorkerID(d.ID)] = d.worker()
	}
	entries := make([]EntryHost, 0, len(document.EntryHosts))
	for _, d := range document.EntryHosts {
		entries = append(entries, NewEntryHost(d.Address, order.DomainName(d.Domain)))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fetched = asked
	h.workers = workers
	h.entries = entries
	return nil
}

// Workers returns the workers of the last list, in order of name.
func (h *Hosts) Workers() []Worker {
	h.mu.RLock()
	defer h.mu.RUnlock()
	workers := make([]Worker, 0, len(h.workers))
	for _, w := range h.workers {
		workers = append(workers, w)
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].id < workers[j].id })
	return workers
}

// EntryHosts returns the entry hosts of the last list.
func (h *Hosts) EntryHosts() []EntryHost {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return append([]EntryHost(nil), h.entries...)
}

// Groups returns the worker groups of the last list, in order of name.
func (h *Hosts) Groups() []order.GroupID {
	var groups []order.GroupID
	seen := make(map[order.GroupID]bool)
	for _, w := range h.Workers() {
		if group := w.Group(); !seen[group] {
			seen[group] = true
			groups = append(groups, group)
		}
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i] < groups[j] })
	return groups
}

// Leaving reports whether the worker must get no new work: it is leaving, or
// the list does not show it.
func (h *Hosts) Leaving(id order.WorkerID) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	w, ok := h.workers[id]
	return !ok || w.leaving
}

// Shows reports whether the list shows the entry host of a process that
// listens on the address. Without any list it reports true, because a host
// that was never looked up cannot count as gone.
func (h *Hosts) Shows(address string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.fetched.IsZero() {
		return true
	}
	for _, e := range h.entries {
		if sameHost(e.address, address) {
			return true
		}
	}
	return false
}

// Age returns how long ago the last list was asked for.
func (h *Hosts) Age() time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.fetched.IsZero() {
		return math.MaxInt64
	}
	return h.clock.Now().Sub(h.fetched)
}

func (h *Hosts) get(ctx context.Context) (hostsDocument, error) {
	var document hostsDocument
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url+hostsPath, nil)
	if err != nil {
		return document, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return document, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return document, fmt.Errorf("answer %s", response.Status)
	}
	body := io.LimitReader(response.Body, hostsAnswerLimit)
	if err := json.NewDecoder(body).Decode(&document); err != nil {
		return document, fmt.Errorf("read answer: %w", err)
	}
	return document, nil
}

func (d workerDocument) worker() Worker {
	size := order.Resources{}.
		WithCores(order.MilliCores(math.Round(d.Cores * milliCoresPerCore))).
		WithMemory(order.Bytes(d.Memory)).
		WithAccelerators(d.Accelerators)
	return NewWorker(order.WorkerID(d.ID), d.URL, order.DomainName(d.Domain), d.Rack).
		WithSize(size, d.Slots, d.Connections).
		WithFenced(d.Fenced).
		WithLeaving(d.State != stateLive)
}

// sameHost compares a listed address, which may lack the port, with the
// address of a process.
func sameHost(listed, address string) bool {
	if listed == address {
		return true
	}
	if _, _, err := net.SplitHostPort(listed); err == nil {
		return false
	}
	host, _, err := net.SplitHostPort(address)
	return err == nil && strings.Trim(listed, "[]") == host
}

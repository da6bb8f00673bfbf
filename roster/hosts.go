package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
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
		list    *hostList
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
		list:     newHostList(hostsDocument{}, ""),
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
	list := h.current()
	document, tag, err := h.get(ctx, list.tag)
	if err != nil {
		return fmt.Errorf("fetch host list: %w", err)
	}
	if document != nil {
		list = newHostList(*document, tag)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fetched = asked
	h.list = list
	return nil
}

func (h *Hosts) current() *hostList {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.list
}

// Workers returns the workers of the last list, in order of name. The caller
// must not change the slice.
func (h *Hosts) Workers() []Worker { return h.current().workers }

// WorkersOf returns the workers of one group in order of name. The caller must
// not change the slice.
func (h *Hosts) WorkersOf(group order.GroupID) []Worker { return h.current().byGroup[group] }

// EntryHosts returns the entry hosts of the last list.
func (h *Hosts) EntryHosts() []EntryHost {
	return append([]EntryHost(nil), h.current().entries...)
}

// Groups returns the worker groups of the last list, in order of name. The
// caller must not change the slice.
func (h *Hosts) Groups() []order.GroupID { return h.current().groups }

// Leaving reports whether the worker must get no new work: it is leaving, or
// the list does not show it.
func (h *Hosts) Leaving(id order.WorkerID) bool {
	w, ok := h.current().byID[id]
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
	for _, e := range h.list.entries {
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

// get asks for the list and its tag. It returns no document if the platform
// says that the list is still the one with the known tag.
func (h *Hosts) get(ctx context.Context, known string) (*hostsDocument, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url+hostsPath, nil)
	if err != nil {
		return nil, "", err
	}
	if known != "" {
		request.Header.Set("If-None-Match", known)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return nil, known, nil
	default:
		return nil, "", fmt.Errorf("answer %s", response.Status)
	}
	var document hostsDocument
	body := io.LimitReader(response.Body, hostsAnswerLimit)
	if err := json.NewDecoder(body).Decode(&document); err != nil {
		return nil, "", fmt.Errorf("read answer: %w", err)
	}
	return &document, response.Header.Get("ETag"), nil
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

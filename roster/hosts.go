package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/order"
	"chervilhollow/timers"
)

type (
	// HostListClient fetches the platform's host list and keeps the last one
	// while the platform is not reachable. It is safe for concurrent use.
	HostListClient struct {
		url      string
		clock    timers.Clock
		log      zerolog.Logger
		interval time.Duration
		client   *http.Client

		mu          sync.RWMutex
		requestedAt time.Time
		snapshot    *hostListSnapshot
	}

	// HostListOption configures NewHostListClient.
	HostListOption func(*HostListClient)

	// EntryHost is a host on which gates and placers run, as listed by the
	// platform.
	EntryHost struct {
		address string
		domain  order.DomainName
	}

	// hostListDocument keeps the rows undecoded, as each is decoded by itself.
	hostListDocument struct {
		Workers    []json.RawMessage `json:"workers"`
		EntryHosts []json.RawMessage `json:"entry_hosts"`
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
	hostListPath      = "/v1/hosts"
	fetchInterval     = time.Second
	fetchTimeout      = time.Second
	maxResponseBytes  = 16 << 20
	stateLive         = "live"
	milliCoresPerCore = 1000

	// Limits of a worker, so that the sums over a cluster do not overflow.
	maxCores     = 1 << 20
	maxMemory    = 1 << 50
	maxCount     = 1 << 20
	maxNameBytes = 200
	maxURLBytes  = 1000
)

var errNotWorker = errors.New("row names no worker")

// WithFetchInterval sets how often Run fetches the list. The default is a
// second.
func WithFetchInterval(interval time.Duration) HostListOption {
	return func(c *HostListClient) { c.interval = interval }
}

// WithHostListLog sets the log. By default nothing is logged.
func WithHostListLog(log zerolog.Logger) HostListOption {
	return func(c *HostListClient) { c.log = log }
}

// NewHostListClient returns a client of the host list at the base URL. The list
// is empty until Run or Fetch has fetched it.
func NewHostListClient(url string, clock timers.Clock, opts ...HostListOption) *HostListClient {
	c := &HostListClient{
		url:      strings.TrimSuffix(url, "/"),
		clock:    clock,
		log:      zerolog.Nop(),
		interval: fetchInterval,
		client:   &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{}},
		snapshot: newHostListSnapshot(hostListDocument{}, ""),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// NewEntryHost returns an entry host. The address may lack the port.
func NewEntryHost(address string, domain order.DomainName) EntryHost {
	return EntryHost{address: address, domain: domain}
}

// Address returns the address of the host, with or without a port.
func (e EntryHost) Address() string { return e.address }

// Domain returns the failure domain of the host.
func (e EntryHost) Domain() order.DomainName { return e.domain }

// Run fetches the list periodically until the context ends. Failed fetches are
// logged and retried after the interval.
func (c *HostListClient) Run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	ticks := c.clock.Subscribe(c.interval)
	defer ticks.Close()
	for {
		if err := c.Fetch(ctx); err != nil && ctx.Err() == nil {
			c.log.Warn().Err(err).Msg("roster: host list not fetched; keeping the last one")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
		}
	}
}

// Fetch fetches the list once. On an error the last list stays in use.
func (c *HostListClient) Fetch(ctx context.Context) error {
	requestedAt := c.clock.Now()
	snapshot := c.list()
	document, etag, err := c.request(ctx, snapshot.etag)
	if err != nil {
		return fmt.Errorf("fetch host list: %w", err)
	}
	if document != nil {
		snapshot = newHostListSnapshot(*document, etag)
		if snapshot.unreadable > 0 {
			c.log.Warn().Int("rows", snapshot.unreadable).Msg("roster: rows of the host list not read")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestedAt = requestedAt
	c.snapshot = snapshot
	return nil
}

func (c *HostListClient) list() *hostListSnapshot {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.snapshot
}

// Workers returns the workers of the last list, sorted by ID. The caller must
// not change the slice.
func (c *HostListClient) Workers() []Worker { return c.list().workers }

// WorkersOf returns the workers of one group, sorted by ID. The caller must not
// change the slice.
func (c *HostListClient) WorkersOf(group order.GroupID) []Worker { return c.list().byGroup[group] }

// EntryHosts returns a copy of the entry hosts of the last list.
func (c *HostListClient) EntryHosts() []EntryHost {
	return append([]EntryHost(nil), c.list().entryHosts...)
}

// Groups returns the worker groups of the last list, sorted by ID. The caller
// must not change the slice.
func (c *HostListClient) Groups() []order.GroupID { return c.list().groups }

// Unschedulable reports whether the worker must get no new tasks because it is
// leaving or missing from the list.
func (c *HostListClient) Unschedulable(id order.WorkerID) bool {
	w, ok := c.list().byID[id]
	return !ok || w.leaving
}

// Contains reports whether the list contains the entry host of a process that
// listens on the address. It returns true as long as no list was fetched,
// because a host is not treated as removed without a list.
func (c *HostListClient) Contains(address string) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.requestedAt.IsZero() {
		return true
	}
	for _, e := range c.snapshot.entryHosts {
		if sameHost(e.address, address) {
			return true
		}
	}
	return false
}

// ListAge returns the time since the last list was requested, or the longest
// duration if none was fetched yet.
func (c *HostListClient) ListAge() time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.requestedAt.IsZero() {
		return math.MaxInt64
	}
	return c.clock.Now().Sub(c.requestedAt)
}

// request fetches the list and its ETag. The document is nil if the list still
// has the given ETag.
func (c *HostListClient) request(ctx context.Context, etag string) (*hostListDocument, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+hostListPath, nil)
	if err != nil {
		return nil, "", err
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return nil, etag, nil
	default:
		return nil, "", fmt.Errorf("unexpected status %s", resp.Status)
	}
	var document hostListDocument
	body := io.LimitReader(resp.Body, maxResponseBytes)
	if err := json.NewDecoder(body).Decode(&document); err != nil {
		return nil, "", fmt.Errorf("decode response: %w", err)
	}
	return &document, resp.Header.Get("ETag"), nil
}

// decodeWorker returns the worker in a row. Rows with values that no worker has
// are returned as errors.
func decodeWorker(row json.RawMessage) (Worker, error) {
	var d workerDocument
	if err := json.Unmarshal(row, &d); err != nil {
		return Worker{}, fmt.Errorf("%w: %w", errNotWorker, err)
	}
	if d.ID == "" || max(len(d.ID), len(d.Domain), len(d.Rack)) > maxNameBytes || !validURL(d.URL) || !d.inRange() {
		return Worker{}, errNotWorker
	}
	return d.worker(), nil
}

func (d workerDocument) inRange() bool {
	return d.Cores >= 0 && d.Cores <= maxCores && d.Memory >= 0 && d.Memory <= maxMemory &&
		min(d.Accelerators, d.Slots, d.Connections) >= 0 && max(d.Accelerators, d.Slots, d.Connections) <= maxCount
}

// validURL reports whether the text is the base URL of an HTTP API.
func validURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || len(text) > maxURLBytes || u.Scheme != "http" && u.Scheme != "https" || u.Hostname() == "" {
		return false
	}
	if u.Port() == "" {
		return true
	}
	port, err := strconv.ParseUint(u.Port(), 10, 16)
	return err == nil && port != 0
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

// sameHost reports whether a listed address is that of a process. A listed
// address without a port matches any port of the host.
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

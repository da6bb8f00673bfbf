package sample

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhollow/tide"
)

type (
	// Hosts is the stand-in of the platform's host list. A change of state
	// shows after the lag.
	Hosts struct {
		clock tide.Clock
		lag   time.Duration
		mux   *http.ServeMux

		mu      sync.Mutex
		file    hostFileDocument
		states  map[string]string
		changes []hostChange
		outage  bool
	}

	// HostsOption changes a Hosts when it is made.
	HostsOption func(*Hosts)

	hostChange struct {
		due   time.Time
		id    string
		state string
	}

	hostStateDocument struct {
		State string `json:"state"`
	}

	hostSwitch struct {
		Outage *bool `json:"outage"`
	}
)

const (
	defaultLag  = 2 * time.Second
	maxHostBody = 64 << 10
)

// WithLag sets how long a change of state takes to show.
func WithLag(lag time.Duration) HostsOption {
	return func(h *Hosts) { h.lag = lag }
}

// NewHosts returns a host list with the content of the file.
func NewHosts(clock tide.Clock, file HostFile, opts ...HostsOption) *Hosts {
	h := &Hosts{
		clock:  clock,
		lag:    defaultLag,
		mux:    http.NewServeMux(),
		file:   file.document,
		states: make(map[string]string),
	}
	for _, w := range h.file.Workers {
		h.states[w.ID] = w.State
	}
	for _, e := range h.file.EntryHosts {
		h.states[e.Address] = hostLive
	}
	for _, opt := range opts {
		opt(h)
	}
	h.mux.HandleFunc("GET /v1/hosts", h.list)
	h.mux.HandleFunc("POST /v1/hosts/{id}/state", h.setState)
	h.mux.HandleFunc("POST /switch", h.change)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Hosts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxHostBody)
	h.mux.ServeHTTP(w, r)
}

func (h *Hosts) list(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage {
		writeFault(w, http.StatusServiceUnavailable, "unavailable")
		return
	}
	h.settle()
	answer := hostFileDocument{Workers: []hostWorker{}, EntryHosts: []entryHost{}}
	for _, worker := range h.file.Workers {
		worker.State = h.states[worker.ID]
		if worker.State != hostGone {
			answer.Workers = append(answer.Workers, worker)
		}
	}
	for _, entry := range h.file.EntryHosts {
		if h.states[entry.Address] != hostGone {
			answer.EntryHosts = append(answer.EntryHosts, entry)
		}
	}
	writeTagged(w, r, answer)
}

// writeTagged writes an answer with an entity tag, or only that it has not
// changed since the one that the client names.
func writeTagged(w http.ResponseWriter, r *http.Request, answer hostFileDocument) {
	body, err := json.Marshal(answer)
	if err != nil {
		writeFault(w, http.StatusInternalServerError, "internal")
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (h *Hosts) setState(w http.ResponseWriter, r *http.Request) {
	var body hostStateDocument
	if !readJSON(w, r, &body) {
		return
	}
	switch body.State {
	case hostLive, hostLeaving, hostGone:
	default:
		writeFault(w, http.StatusBadRequest, "unknown_state")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	id := r.PathValue("id")
	if _, ok := h.states[id]; !ok {
		writeFault(w, http.StatusNotFound, "unknown_host")
		return
	}
	due := h.clock.Now().Add(h.lag)
	h.changes = append(h.changes, hostChange{due: due, id: id, state: body.State})
	writeJSON(w, http.StatusOK, struct{}{})
}

func (h *Hosts) change(w http.ResponseWriter, r *http.Request) {
	var body hostSwitch
	if !readJSON(w, r, &body) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if body.Outage != nil {
		h.outage = *body.Outage
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// settle shows the changes that are older than the lag.
func (h *Hosts) settle() {
	now := h.clock.Now()
	for len(h.changes) > 0 && !h.changes[0].due.After(now) {
		h.states[h.changes[0].id] = h.changes[0].state
		h.changes = h.changes[1:]
	}
}

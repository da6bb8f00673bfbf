package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhollow/timers"
)

type (
	// Hosts serves the platform's host list from memory. State changes are
	// posted over HTTP and appear in the list after a lag. Safe for concurrent
	// use.
	Hosts struct {
		clock    timers.Clock
		stateLag time.Duration
		mux      *http.ServeMux

		mu      sync.Mutex
		file    hostFileDocument
		states  map[string]string
		changes []hostChange
		outage  bool
	}

	// HostsOption configures a Hosts in NewHosts.
	HostsOption func(*Hosts)

	hostChange struct {
		visibleAt time.Time
		id        string
		state     string
	}

	hostStateRequest struct {
		State string `json:"state"`
	}

	hostSwitchRequest struct {
		Outage *bool `json:"outage"`
	}
)

const (
	defaultStateLag  = 2 * time.Second
	maxHostBodyBytes = 64 << 10
)

// WithLag sets the delay after which a state change appears in the list. The
// default is two seconds.
func WithLag(lag time.Duration) HostsOption {
	return func(h *Hosts) { h.stateLag = lag }
}

// NewHosts returns a host list that serves the hosts of the file. The clock
// measures the lag of state changes.
func NewHosts(clock timers.Clock, file HostFile, opts ...HostsOption) *Hosts {
	h := &Hosts{
		clock:    clock,
		stateLag: defaultStateLag,
		mux:      http.NewServeMux(),
		file:     file.document,
		states:   make(map[string]string),
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
	h.mux.HandleFunc("POST /switch", h.serveSwitch)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Hosts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxHostBodyBytes)
	h.mux.ServeHTTP(w, r)
}

func (h *Hosts) list(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage {
		writeError(w, http.StatusServiceUnavailable, "unavailable")
		return
	}
	h.applyDueChanges()
	list := hostFileDocument{Workers: []hostWorker{}, EntryHosts: []entryHost{}}
	for _, worker := range h.file.Workers {
		worker.State = h.states[worker.ID]
		if worker.State != hostGone {
			list.Workers = append(list.Workers, worker)
		}
	}
	for _, entry := range h.file.EntryHosts {
		if h.states[entry.Address] != hostGone {
			list.EntryHosts = append(list.EntryHosts, entry)
		}
	}
	writeWithETag(w, r, list)
}

// writeWithETag writes the list with an entity tag, or 304 Not Modified if the
// tag matches the request's If-None-Match header.
func writeWithETag(w http.ResponseWriter, r *http.Request, list hostFileDocument) {
	body, err := json.Marshal(list)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "internal")
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
	var body hostStateRequest
	if !readJSON(w, r, &body) {
		return
	}
	switch body.State {
	case hostLive, hostLeaving, hostGone:
	default:
		writeError(w, http.StatusBadRequest, "unknown_state")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	id := r.PathValue("id")
	if _, ok := h.states[id]; !ok {
		writeError(w, http.StatusNotFound, "unknown_host")
		return
	}
	due := h.clock.Now().Add(h.stateLag)
	h.changes = append(h.changes, hostChange{visibleAt: due, id: id, state: body.State})
	writeJSON(w, http.StatusOK, struct{}{})
}

func (h *Hosts) serveSwitch(w http.ResponseWriter, r *http.Request) {
	var body hostSwitchRequest
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

// applyDueChanges applies the queued state changes whose lag has passed.
func (h *Hosts) applyDueChanges() {
	now := h.clock.Now()
	for len(h.changes) > 0 && !h.changes[0].visibleAt.After(now) {
		h.states[h.changes[0].id] = h.changes[0].state
		h.changes = h.changes[1:]
	}
}

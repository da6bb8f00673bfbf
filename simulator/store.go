// Package simulator provides stand-ins of the outside systems, for tests and
// for running the scheduler on one machine: the platform's key-value store
// (Store), its host list (Hosts) and the workers (Workers). Each is an HTTP
// handler with a POST /switch endpoint that injects faults; the standin-*
// commands serve them.
package simulator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// Store serves the HTTP protocol of the platform's key-value store from an
	// in-memory store. Safe for concurrent use.
	Store struct {
		memory *storage.Memory
		mux    *http.ServeMux
	}

	storeEntry struct {
		Key     string          `json:"key"`
		Value   []byte          `json:"value,omitempty"`
		Version storage.Version `json:"version"`
		Deleted bool            `json:"deleted,omitempty"`
	}

	storeRequest struct {
		Key      string          `json:"key"`
		Expected storage.Version `json:"expected"`
		Value    []byte          `json:"value"`
		Lease    storage.LeaseID `json:"lease"`
		TTL      int64           `json:"ttl_ms"`
	}

	storeSwitchRequest struct {
		Outage      *bool  `json:"outage"`
		SlowMillis  *int64 `json:"slow_ms"`
		LoseAnswers *int   `json:"lose_answers"`
	}
)

const (
	// maxStoreBodyBytes is enough for the largest value in base64 and its key.
	maxStoreBodyBytes = 2 << 20
	maxStoreWatchWait = time.Minute
)

// NewStore returns an empty store. Leases expire by the clock.
func NewStore(clock timers.Clock, opts ...storage.MemoryOption) *Store {
	s := &Store{memory: storage.NewMemory(clock, opts...), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/get", s.get)
	s.mux.HandleFunc("GET /v1/list", s.list)
	s.mux.HandleFunc("GET /v1/watch", s.watch)
	s.mux.HandleFunc("POST /v1/swap", s.swap)
	s.mux.HandleFunc("POST /v1/delete", s.remove)
	s.mux.HandleFunc("POST /v1/grant", s.grant)
	s.mux.HandleFunc("POST /v1/keep_alive", s.keepAlive)
	s.mux.HandleFunc("POST /v1/revoke", s.revoke)
	s.mux.HandleFunc("POST /switch", s.serveSwitch)
	s.mux.HandleFunc("GET /calls", s.calls)
	return s
}

// Memory returns the underlying in-memory store, which tests use to read keys
// and inject faults without HTTP.
func (s *Store) Memory() *storage.Memory { return s.memory }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxStoreBodyBytes)
	s.mux.ServeHTTP(w, r)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.memory.Get(r.Context(), r.FormValue("key"))
	writeStoreResponse(w, newStoreEntry(entry, false), err)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	entries, version, err := s.memory.List(r.Context(), r.FormValue("prefix"))
	documents := make([]storeEntry, 0, len(entries))
	for _, entry := range entries {
		documents = append(documents, newStoreEntry(entry, false))
	}
	writeStoreResponse(w, map[string]any{"entries": documents, "version": version}, err)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request")
		return
	}
	millis, err := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request")
		return
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxStoreWatchWait)
	events, version, err := s.memory.Watch(r.Context(), r.FormValue("prefix"), storage.Version(after), wait)
	documents := make([]storeEntry, 0, len(events))
	for _, event := range events {
		documents = append(documents, newStoreEntry(event.Entry(), event.Deleted()))
	}
	writeStoreResponse(w, map[string]any{"events": documents, "version": version}, err)
}

func (s *Store) swap(w http.ResponseWriter, r *http.Request) {
	var body storeRequest
	if !readJSON(w, r, &body) {
		return
	}
	version, err := s.memory.Swap(r.Context(), body.Key, body.Expected, body.Value, body.Lease)
	writeStoreResponse(w, map[string]any{"version": version}, err)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	var body storeRequest
	if !readJSON(w, r, &body) {
		return
	}
	err := s.memory.Delete(r.Context(), body.Key, body.Expected)
	writeStoreResponse(w, struct{}{}, err)
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body storeRequest
	if !readJSON(w, r, &body) {
		return
	}
	lease, err := s.memory.Grant(r.Context(), time.Duration(body.TTL)*time.Millisecond)
	writeStoreResponse(w, map[string]any{"lease": lease}, err)
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	var body storeRequest
	if !readJSON(w, r, &body) {
		return
	}
	writeStoreResponse(w, struct{}{}, s.memory.KeepAlive(r.Context(), body.Lease))
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	var body storeRequest
	if !readJSON(w, r, &body) {
		return
	}
	writeStoreResponse(w, struct{}{}, s.memory.Revoke(r.Context(), body.Lease))
}

// serveSwitch sets the faults that the body names; absent fields change
// nothing.
func (s *Store) serveSwitch(w http.ResponseWriter, r *http.Request) {
	var body storeSwitchRequest
	if !readJSON(w, r, &body) {
		return
	}
	if body.Outage != nil {
		s.memory.SetOutage(*body.Outage)
	}
	if body.SlowMillis != nil {
		s.memory.SetSlow(time.Duration(*body.SlowMillis) * time.Millisecond)
	}
	if body.LoseAnswers != nil {
		s.memory.LoseAnswers(*body.LoseAnswers)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Store) calls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.memory.AllCalls())
}

func newStoreEntry(entry storage.Entry, deleted bool) storeEntry {
	return storeEntry{Key: entry.Key(), Value: entry.Value(), Version: entry.Version(), Deleted: deleted}
}

// writeStoreResponse writes the body or the error. ErrUncertain simulates a
// lost response: the connection is closed without one.
func writeStoreResponse(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.Is(err, storage.ErrUncertain):
		panic(http.ErrAbortHandler)
	case errors.Is(err, storage.ErrConflict):
		writeError(w, http.StatusConflict, "conflict")
	case errors.Is(err, storage.ErrCompacted):
		writeError(w, http.StatusGone, "compacted")
	case errors.Is(err, storage.ErrLeaseEnded):
		writeError(w, http.StatusNotFound, "lease_ended")
	case errors.Is(err, storage.ErrValueTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, "value_too_large")
	default:
		writeError(w, http.StatusServiceUnavailable, "unavailable")
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	decoder := json.NewDecoder(r.Body)
	if err := decoder.Decode(body); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request")
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, status int, code string) {
	writeJSON(w, status, map[string]string{"error": code})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

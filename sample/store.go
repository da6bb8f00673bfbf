// Package sample holds the stand-ins of the platform for tests and for
// trying the system on one machine: the key-value store and the host list.
package sample

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chervilhollow/depot"
	"chervilhollow/tide"
)

type (
	// Store is the stand-in of the platform's key-value store: its HTTP
	// protocol around a store in memory.
	Store struct {
		memory *depot.Memory
		mux    *http.ServeMux
	}

	storeEntry struct {
		Key     string        `json:"key"`
		Value   []byte        `json:"value,omitempty"`
		Version depot.Version `json:"version"`
		Deleted bool          `json:"deleted,omitempty"`
	}

	storeWrite struct {
		Key      string        `json:"key"`
		Expected depot.Version `json:"expected"`
		Value    []byte        `json:"value"`
		Lease    depot.LeaseID `json:"lease"`
		TTL      int64         `json:"ttl_ms"`
	}

	storeSwitch struct {
		Outage      *bool  `json:"outage"`
		SlowMillis  *int64 `json:"slow_ms"`
		LoseAnswers *int   `json:"lose_answers"`
	}
)

const (
	// maxStoreBody holds the largest value in base64 with its key.
	maxStoreBody = 2 << 20
	maxWait      = time.Minute
)

// NewStore returns an empty store whose leases follow the clock.
func NewStore(clock tide.Clock, opts ...depot.MemoryOption) *Store {
	s := &Store{memory: depot.NewMemory(clock, opts...), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/get", s.get)
	s.mux.HandleFunc("GET /v1/list", s.list)
	s.mux.HandleFunc("GET /v1/watch", s.watch)
	s.mux.HandleFunc("POST /v1/swap", s.swap)
	s.mux.HandleFunc("POST /v1/delete", s.remove)
	s.mux.HandleFunc("POST /v1/grant", s.grant)
	s.mux.HandleFunc("POST /v1/keep_alive", s.keepAlive)
	s.mux.HandleFunc("POST /v1/revoke", s.revoke)
	s.mux.HandleFunc("POST /switch", s.change)
	s.mux.HandleFunc("GET /calls", s.calls)
	return s
}

// Memory returns the store behind the protocol.
func (s *Store) Memory() *depot.Memory { return s.memory }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxStoreBody)
	s.mux.ServeHTTP(w, r)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.memory.Get(r.Context(), r.FormValue("key"))
	answerStore(w, newStoreEntry(entry, false), err)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	entries, version, err := s.memory.List(r.Context(), r.FormValue("prefix"))
	documents := make([]storeEntry, 0, len(entries))
	for _, entry := range entries {
		documents = append(documents, newStoreEntry(entry, false))
	}
	answerStore(w, map[string]any{"entries": documents, "version": version}, err)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		writeFault(w, http.StatusBadRequest, "bad_request")
		return
	}
	millis, err := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err != nil {
		writeFault(w, http.StatusBadRequest, "bad_request")
		return
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWait)
	events, version, err := s.memory.Watch(r.Context(), r.FormValue("prefix"), depot.Version(after), wait)
	documents := make([]storeEntry, 0, len(events))
	for _, event := range events {
		documents = append(documents, newStoreEntry(event.Entry(), event.Deleted()))
	}
	answerStore(w, map[string]any{"events": documents, "version": version}, err)
}

func (s *Store) swap(w http.ResponseWriter, r *http.Request) {
	var body storeWrite
	if !readJSON(w, r, &body) {
		return
	}
	version, err := s.memory.Swap(r.Context(), body.Key, body.Expected, body.Value, body.Lease)
	answerStore(w, map[string]any{"version": version}, err)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	var body storeWrite
	if !readJSON(w, r, &body) {
		return
	}
	err := s.memory.Delete(r.Context(), body.Key, body.Expected)
	answerStore(w, struct{}{}, err)
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body storeWrite
	if !readJSON(w, r, &body) {
		return
	}
	lease, err := s.memory.Grant(r.Context(), time.Duration(body.TTL)*time.Millisecond)
	answerStore(w, map[string]any{"lease": lease}, err)
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	var body storeWrite
	if !readJSON(w, r, &body) {
		return
	}
	answerStore(w, struct{}{}, s.memory.KeepAlive(r.Context(), body.Lease))
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	var body storeWrite
	if !readJSON(w, r, &body) {
		return
	}
	answerStore(w, struct{}{}, s.memory.Revoke(r.Context(), body.Lease))
}

// change sets the switches that the body names and leaves the others.
func (s *Store) change(w http.ResponseWriter, r *http.Request) {
	var body storeSwitch
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

func newStoreEntry(entry depot.Entry, deleted bool) storeEntry {
	return storeEntry{Key: entry.Key(), Value: entry.Value(), Version: entry.Version(), Deleted: deleted}
}

// answerStore writes the answer or the error. A lost answer closes the
// connection without one.
func answerStore(w http.ResponseWriter, answer any, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, answer)
	case errors.Is(err, depot.ErrUncertain):
		panic(http.ErrAbortHandler)
	case errors.Is(err, depot.ErrConflict):
		writeFault(w, http.StatusConflict, "conflict")
	case errors.Is(err, depot.ErrCompacted):
		writeFault(w, http.StatusGone, "compacted")
	case errors.Is(err, depot.ErrLeaseEnded):
		writeFault(w, http.StatusNotFound, "lease_ended")
	case errors.Is(err, depot.ErrValueTooLarge):
		writeFault(w, http.StatusRequestEntityTooLarge, "value_too_large")
	default:
		writeFault(w, http.StatusServiceUnavailable, "unavailable")
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	decoder := json.NewDecoder(r.Body)
	if err := decoder.Decode(body); err != nil {
		writeFault(w, http.StatusBadRequest, "bad_request")
		return false
	}
	return true
}

func writeFault(w http.ResponseWriter, status int, name string) {
	writeJSON(w, status, map[string]string{"error": name})
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

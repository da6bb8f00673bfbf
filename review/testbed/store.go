package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's metadata store, shared by all machines.
type Store struct {
	net *Network

	mu        sync.Mutex
	revision  int64
	items     map[string]storeItem
	history   []storeItem
	changed   chan struct{}
	leases    map[int64]time.Time
	lastLease int64
	down      bool
	up        chan struct{}
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

const (
	storeAnswer  = 4 * time.Millisecond
	storePage    = 500
	leaseTick    = 20 * time.Millisecond
	maxWatchWait = 30 * time.Second
)

func newStore(n *Network) *Store {
	s := &Store{
		net: n, revision: 1, items: make(map[string]storeItem), changed: make(chan struct{}),
		leases: make(map[int64]time.Time), up: make(chan struct{}),
	}
	close(s.up)
	go s.expireLeases()
	return s
}

// setDown makes the store silent, or lets it answer again. Calls that arrive
// meanwhile have no effect and no answer. Leases pause.
func (s *Store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		s.up = make(chan struct{})
		close(s.changed) // A watch that is waiting is cut.
		s.changed = make(chan struct{})
		return
	}
	close(s.up)
}

func (s *Store) isDown() (bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.up
}

func (s *Store) expireLeases() {
	for range time.Tick(leaseTick) {
		s.mu.Lock()
		now := time.Now()
		for id, end := range s.leases {
			if s.down {
				s.leases[id] = end.Add(leaseTick)
			} else if now.After(end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease deletes the keys of a lease. The lock must be held.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// put writes a key. The lock must be held.
func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	s.items[key] = storeItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.record(s.items[key])
}

// remove deletes a key. The lock must be held.
func (s *Store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *Store) record(i storeItem) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key for the operator or a worker. A nil document deletes it.
func (s *Store) set(key string, document any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if document == nil {
		if _, ok := s.items[key]; ok {
			s.remove(key)
		}
		return
	}
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.put(key, value, 0)
}

// get returns the value of a key.
func (s *Store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if down, up := s.isDown(); down {
		select {
		case <-up:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeAnswer)
	q := r.URL.Query()
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	switch {
	case r.URL.Path == "/v1/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, i)
	case r.URL.Path == "/v1/kv-range":
		s.list(w, q.Get("pathPrefix"), q.Get("after"))
	case r.URL.Path == "/v1/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/v1/kv-txn":
		s.transact(w, r)
	case r.URL.Path == "/v1/kv-lease":
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		if !readJSON(w, r, &body) {
			return
		}
		s.mu.Lock()
		s.lastLease++
		lease := s.lastLease
		s.leases[lease] = time.Now().Add(time.Duration(body.TTL) * time.Millisecond)
		s.mu.Unlock()
		s.net.setTTL(lease, body.TTL)
		writeJSON(w, http.StatusOK, object{"lease": lease, "ttlMs": body.TTL})
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.leases[id] = time.Now().Add(time.Duration(s.net.ttl(id)) * time.Millisecond)
		}
		s.mu.Unlock()
		answerLease(w, ok, s.net.ttl(id))
	case strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		answerLease(w, ok, 0)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answerLease(w http.ResponseWriter, ok bool, ttl int64) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, object{"ttlMs": ttl})
}

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items, more := []storeItem{}, false
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	if len(items) > storePage {
		items, more = items[:storePage], true
	}
	writeJSON(w, http.StatusOK, object{"items": items, "morePages": more, "asOf": asOf})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	for expired := false; ; {
		s.mu.Lock()
		events := []storeItem{}
		for at := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after }); at < len(s.history); at++ {
			if strings.HasPrefix(s.history[at].Key, q.Get("pathPrefix")) {
				events = append(events, s.history[at])
			}
		}
		asOf, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || expired {
			writeJSON(w, http.StatusOK, object{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []storeItem `json:"expectedRev"`
		Writes   []storeItem `json:"writes"`
		Deletes  []string    `json:"deletes"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []storeItem{}, false
	for _, e := range body.Expected {
		i, ok := s.items[e.Key]
		if !ok {
			i = storeItem{Key: e.Key}
		}
		current = append(current, i)
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		writeJSON(w, http.StatusPreconditionFailed, object{"items": current})
		return
	}
	for _, i := range body.Writes {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	// All changes of a transaction have one revision.
	revision := s.revision + 1
	for _, i := range body.Writes {
		s.revision = revision - 1
		s.put(i.Key, i.Value, i.Lease)
	}
	for _, key := range body.Deletes {
		if _, ok := s.items[key]; ok {
			s.revision = revision - 1
			s.remove(key)
		}
	}
	s.revision = revision
	writeJSON(w, http.StatusOK, object{"revision": revision})
}

// Package stand holds small stand-ins for the users' platform, its instances and its
// clients, and starts the sidecar processes of a small deployment.
package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxItems is the number of items of one page.
const maxItems = 500

// An Item is one entry of the store, or the deletion of one.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// A Store is the platform's metadata store, which is only read by the nodes.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	changed  chan struct{}
	server   *http.Server
	// Fail, if it is set, answers a request in place of the store.
	Fail func(w http.ResponseWriter, r *http.Request) bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]Item{}, changed: make(chan struct{})}
}

// Serve serves the store on a listener until Close.
func (s *Store) Serve(l net.Listener) {
	m := http.NewServeMux()
	m.HandleFunc("/-/kv-range", s.serveRange)
	m.HandleFunc("/-/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Fail == nil || !s.Fail(w, r) {
			m.ServeHTTP(w, r)
		}
	})}
	go func() { _ = s.server.Serve(l) }()
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a value, encoded as JSON, and returns the time of the acknowledgement.
func (s *Store) Put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := Item{Key: key, Value: b, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
	return time.Now()
}

// Delete removes an entry.
func (s *Store) Delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(Item{Key: key, Revision: s.revision, Deleted: true})
	return time.Now()
}

func (s *Store) record(i Item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var page []Item
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			page = append(page, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(page, func(a, b int) bool { return page[a].Key < page[b].Key })
	more := len(page) > maxItems
	if more {
		page = page[:maxItems]
	}
	if page == nil {
		page = []Item{}
	}
	writeJSON(w, map[string]any{"items": page, "hasMore": more, "storeRevision": revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []Item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

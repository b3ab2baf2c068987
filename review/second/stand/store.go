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

const (
	// maxPageItems is the largest number of items of one page.
	maxPageItems = 500
	// maxWatchWait is the longest wait of a watch.
	maxWatchWait = 30 * time.Second
)

// An Item is one item of the store, or the event of its change.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// A Store is the platform's metadata store. Its answers are linearizable.
type Store struct {
	// Address is the IP address and port at which it listens.
	Address string

	server *http.Server

	mu       sync.Mutex
	items    map[string]Item
	events   []Item
	revision uint64
	// changed is closed with the next change.
	changed chan struct{}
}

// StartStore listens at a free port of the IP address.
func StartStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), items: map[string]Item{}, changed: make(chan struct{}), revision: 1}
	m := http.NewServeMux()
	m.HandleFunc("GET /-/kv-key", s.serveKey)
	m.HandleFunc("GET /-/kv-range", s.serveRange)
	m.HandleFunc("GET /-/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: m}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes an item. The return is the acknowledgement.
func (s *Store) Put(key string, value any) {
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
}

// Delete removes an item, if it is there.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(Item{Key: key, Revision: s.revision, Deleted: true})
}

// record adds an event. The caller holds the mutex.
func (s *Store) record(i Item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("pathPrefix"), q.Get("after")
	s.mu.Lock()
	all := []Item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			all = append(all, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(all, func(a, b int) bool { return all[a].Key < all[b].Key })
	more := len(all) > maxPageItems
	if more {
		all = all[:maxPageItems]
	}
	writeJSON(w, map[string]any{"items": all, "hasMore": more, "storeRevision": revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, err2 := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer end.Stop()
	for over := false; ; {
		events, revision, changed := s.since(q.Get("pathPrefix"), after)
		if len(events) > 0 || over {
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the events after a revision, the revision and the channel of the next
// change.
func (s *Store) since(prefix string, after uint64) ([]Item, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []Item{}
	for i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after }); i < len(s.events); i++ {
		if strings.HasPrefix(s.events[i].Key, prefix) {
			events = append(events, s.events[i])
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

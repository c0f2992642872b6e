//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems bounds the items of one range response.
const pageItems = 50

// item is a key of the store, or the removal of one, as it is sent.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store with one revision counter and its whole history.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{} // closed at the next change
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /sequoiarack/kv-range", s.serveRange)
	mux.HandleFunc("GET /sequoiarack/kv-watch", s.serveWatch)
	mux.HandleFunc("GET /sequoiarack/kv-key", s.serveKey)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a key and returns the revision, which acknowledges the write.
func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	next := item{Key: key, Value: data, Revision: s.revision, Created: s.items[key].Created}
	if next.Created == 0 {
		next.Created = s.revision
	}
	s.items[key] = next
	s.record(next)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

// record appends a change to the history. The caller holds s.mu.
func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		CurrentRev int64 `json:"current_rev"`
	}{found, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(page) > pageItems
	writeJSON(w, map[string]any{"items": page[:min(len(page), pageItems)], "has_more": more, "current_rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("path_prefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				ended = true
			}
		}
		if len(events) > 0 || ended {
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

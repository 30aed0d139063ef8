package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: keyed topics of one partition each, with
// appends, reads that wait, and listings of the newest records. It misbehaves in no way.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records   [][]byte
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
	// appending makes appends take place one at a time.
	appending sync.Mutex
}

type producer struct {
	epoch, seq int64
	// answers are those of the last appends, by sequence number.
	answers map[int64][2]int
}

const (
	// appendTime is AppendMs of the settings, answerTime the store's time for an answer.
	appendTime = 2 * time.Millisecond
	answerTime = 4 * time.Millisecond
	listPage   = 500
)

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes one record as the operator or an executor; a nil value removes the key.
func (s *store) put(name, key string, value any) {
	t := s.topic(name)
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		record = append(record, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.add([][]byte{record})
}

// add must be called with the store's lock held.
func (t *topic) add(records [][]byte) {
	for _, r := range records {
		key := string(r[1 : 1+int(r[0])])
		if len(r) == 1+len(key) {
			delete(t.newest, key)
		} else {
			t.newest[key] = len(t.records)
		}
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	number := func(name string) int64 {
		n, _ := strconv.ParseInt(q.Get(name), 10, 64)
		return n
	}
	name := q.Get("Topic")
	if name == "" || number("part") != 0 {
		reply(w, http.StatusBadRequest, map[string]string{})
		return
	}
	time.Sleep(answerTime / 2)
	t := s.topic(name)
	switch r.URL.Path {
	case "/api/log-append":
		if name == "keyed.op" || name == "keyed.servers" {
			reply(w, http.StatusForbidden, map[string]string{})
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.append(w, t, body, q.Get("Producer"), number("epoch"), number("Seq"), q.Get("At"))
	case "/api/log-read":
		s.read(w, r, t, int(number("From")), number("MaxKb"), time.Duration(number("WaitMs"))*time.Millisecond)
	case "/api/log-newest":
		s.list(w, t, q.Get("DependsOn"))
	default:
		reply(w, http.StatusNotFound, map[string]string{})
	}
}

func (s *store) append(w http.ResponseWriter, t *topic, body []byte, name string, epoch, seq int64, at string) {
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 || size == 0 || size > 262144 || int(body[4]) >= size {
			reply(w, http.StatusBadRequest, map[string]string{})
			return
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		p := t.producers[name]
		switch {
		case p != nil && epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]string{"Reason": "fenced"})
			return
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, seq: seq - 1, answers: map[int64][2]int{}}
			t.producers[name] = p
		}
		if a, known := p.answers[seq]; known {
			reply(w, http.StatusOK, map[string]int{"Offset": a[0], "End": a[1]})
			return
		}
		if seq != p.seq+1 {
			reply(w, http.StatusConflict, map[string]any{"Reason": "seq", "Seq": p.seq + 1})
			return
		}
		p.seq = seq
		p.answers[seq] = [2]int{len(t.records), len(t.records) + len(records)}
		delete(p.answers, seq-5)
	}
	if n, err := strconv.Atoi(at); err == nil && n != len(t.records) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"End": len(t.records)})
		return
	}
	first := len(t.records)
	if len(records) > 0 {
		t.add(records)
	}
	reply(w, http.StatusOK, map[string]int{"Offset": first, "End": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, t *topic, from int, maxKB int64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		end, changed := len(t.records), t.changed
		var out []byte
		for i := from; i < end && int64(len(out)) < max(maxKB, 1)<<10; i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
			out = append(out, t.records[i]...)
		}
		s.mu.Unlock()
		if len(out) == 0 && wait > 0 {
			select {
			case <-changed:
				continue
			case <-deadline.C:
			case <-r.Context().Done():
				return
			}
		}
		head := binary.BigEndian.AppendUint64(nil, uint64(end))
		_, _ = w.Write(append(binary.BigEndian.AppendUint64(head, 0), out...))
		return
	}
}

func (s *store) list(w http.ResponseWriter, t *topic, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > listPage
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), listPage)] {
		r := t.records[t.newest[key]]
		items = append(items, map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString(r[1+len(key):]), "Offset": t.newest[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": len(t.records)})
}

// value returns the newest value of a key, "" if there is none.
func (s *store) value(name, key string) string {
	t := s.topic(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, known := t.newest[key]
	if !known {
		return ""
	}
	return strings.TrimSpace(string(t.records[i][1+len(key):]))
}

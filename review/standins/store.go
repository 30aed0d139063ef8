package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as in the settings of a small deployment.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 2 * time.Millisecond
)

// store is a stand-in for the platform's metadata store.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// tooLarge is called with the first bytes of each record that exceeds recordBytes.
	tooLarge func(topic, key string, size int)
}

type topic struct {
	mu        sync.Mutex
	appending sync.Mutex
	records   [][]byte
	newest    map[string]int64
	producers map[string]*producer
	// grown is closed and replaced with each append.
	grown chan struct{}
}

type producer struct {
	epoch, last int64
	// answers are the answers to the last five appends, by sequence number.
	answers map[int64]map[string]any
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes one record of the operator or of an executor; without a value, the key is
// dropped.
func (s *store) put(name, key string, value []byte) {
	t := s.topic(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(append(append([]byte{byte(len(key))}, key...), value...))
}

// add appends the content of one record. It must be called with mu held.
func (t *topic) add(content []byte) {
	n := int(content[0])
	if key := string(content[1 : 1+n]); len(content) > 1+n {
		t.newest[key] = int64(len(t.records))
	} else {
		delete(t.newest, key)
	}
	t.records = append(t.records, content)
	close(t.grown)
	t.grown = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	number := func(name string, otherwise int64) int64 {
		if n, err := strconv.ParseInt(q.Get(name), 10, 64); err == nil {
			return n
		}
		return otherwise
	}
	name := q.Get("Topic")
	if !strings.HasPrefix(name, "keyed.") || q.Get("part") != "0" {
		writeJSON(w, http.StatusBadRequest, map[string]any{"Error": "topic"})
		return
	}
	t := s.topic(name)
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		if name == "keyed.op" || name == "keyed.servers" {
			writeJSON(w, http.StatusForbidden, map[string]any{"Error": "not yours"})
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, 2*callBytes))
		if err != nil {
			return
		}
		status, answer := s.append(name, t, body, q.Get("Producer"), number("epoch", 0), number("Seq", 0), number("At", -1))
		writeJSON(w, status, answer)
	case "GET /api/log-read":
		t.read(w, r, number("From", 0), number("MaxKb", 1024), number("WaitMs", 0))
	case "GET /api/log-newest":
		t.list(w, q.Get("DependsOn"))
	default:
		writeJSON(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) append(name string, t *topic, body []byte, producerName string, epoch, seq, at int64) (int, map[string]any) {
	var records [][]byte
	total := 0
	for len(body) > 0 {
		if len(body) < 4 {
			return http.StatusBadRequest, map[string]any{"Error": "cut off"}
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 || 1+int(body[4]) > size {
			return http.StatusBadRequest, map[string]any{"Error": "malformed"}
		}
		content := append([]byte(nil), body[4:4+size]...)
		body = body[4+size:]
		total += size
		if size > recordBytes || total > callBytes {
			if s.tooLarge != nil {
				s.tooLarge(name, string(content[1:1+int(content[0])]), size)
			}
			return http.StatusBadRequest, map[string]any{"Error": fmt.Sprintf("a record of %d bytes, a call of %d", size, total)}
		}
		records = append(records, content)
	}
	// A partition processes its appends one at a time.
	t.appending.Lock()
	time.Sleep(appendTime)
	t.appending.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	end := int64(len(t.records))
	if at >= 0 && at != end {
		return http.StatusPreconditionFailed, map[string]any{"End": end}
	}
	p := t.producers[producerName]
	if producerName != "" {
		switch {
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, last: seq - 1, answers: map[int64]map[string]any{}}
			t.producers[producerName] = p
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"Reason": "fenced"}
		}
		if answer := p.answers[seq]; answer != nil {
			return http.StatusOK, answer
		}
		if seq != p.last+1 {
			return http.StatusConflict, map[string]any{"Reason": "seq", "Seq": p.last + 1}
		}
	}
	for _, content := range records {
		t.add(content)
	}
	answer := map[string]any{"Offset": end, "End": int64(len(t.records))}
	if producerName != "" && len(records) > 0 {
		p.last = seq
		p.answers[seq] = answer
		delete(p.answers, seq-5)
	}
	return http.StatusOK, answer
}

func (t *topic) read(w http.ResponseWriter, r *http.Request, from, maxKB, waitMS int64) {
	deadline := time.After(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	for {
		t.mu.Lock()
		end, grown := int64(len(t.records)), t.grown
		if from < end || waitMS <= 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for ; from < end && len(out) < int(maxKB)<<10; from++ {
				content := t.records[from]
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(content))), content...)
			}
			t.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		t.mu.Unlock()
		select {
		case <-grown:
		case <-deadline:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (t *topic) list(w http.ResponseWriter, after string) {
	t.mu.Lock()
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		if len(items) == 500 || size > 1<<20 {
			more = true
			break
		}
		offset := t.newest[key]
		value := t.records[offset][1+len(key):]
		size += len(value)
		items = append(items, map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString(value), "Offset": offset})
	}
	end := len(t.records)
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": end})
}

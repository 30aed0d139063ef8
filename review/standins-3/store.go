//go:build review

// Command standins-3 plays the cases 11 to 15 of the review: it serves the platform's store and
// its executors on loopback addresses, starts the entry nodes as processes, and checks one rule.
package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/simsite"
)

// Topics of the store that the system or the platform writes to.
const (
	ledgerTopic  = "keyed.shallotpin"
	opTopic      = "keyed.op"
	serversTopic = "keyed.servers"
)

// The limits of the store, as in the settings. A record has its key's length, the key and the value.
const (
	recordBytes = 262144 - 1
	callBytes   = 2097152
)

// store serves the platform's store, as PROTOCOL.md has it, over the project's in-memory log.
type store struct {
	logs    map[string]*simsite.Log
	clients map[string]*simsite.Client
}

func newStore() *store {
	s := &store{logs: map[string]*simsite.Log{}, clients: map[string]*simsite.Client{}}
	for _, topic := range []string{ledgerTopic, opTopic, serversTopic} {
		s.logs[topic] = simsite.NewLog()
		s.logs[topic].SetLimits(recordBytes, callBytes)
		s.clients[topic] = s.logs[topic].Client()
	}
	return s
}

// put writes a record as the platform, the operator or an executor does; a nil value removes it.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.logs[topic].Put(backend.KeyedRecord{Key: key, Value: data})
}

func answer(w http.ResponseWriter, status int, body any) {
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
	topic := s.clients[q.Get("Topic")]
	if topic == nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	switch r.URL.Path {
	case "/api/log-append":
		if q.Get("Topic") != ledgerTopic {
			answer(w, http.StatusForbidden, nil)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		end, err := topic.Append(r.Context(), backend.KeyedAppend{Records: split(body), Producer: q.Get("Producer"), Epoch: number("epoch", 0), Sequence: number("Seq", 0), ExpectedEnd: number("At", -1)})
		reply(w, err, end, map[string]any{"End": end})
	case "/api/log-newest":
		page, err := topic.Newest(r.Context(), q.Get("DependsOn"), nil)
		items := []map[string]any{}
		for _, record := range page.Records {
			items = append(items, map[string]any{"Key": record.Key, "Value": record.Value, "Offset": record.Offset})
		}
		reply(w, err, page.End, map[string]any{"items": items, "HasMore": page.HasMore, "End": page.End})
	case "/api/log-read":
		page, err := topic.Read(r.Context(), number("From", 0), time.Duration(number("WaitMs", 0))*time.Millisecond, nil)
		if err != nil {
			reply(w, err, 0, nil)
			return
		}
		head := binary.BigEndian.AppendUint64(nil, uint64(page.End))
		_, _ = w.Write(append(binary.BigEndian.AppendUint64(head, 0), join(page.Records)...))
	default:
		answer(w, http.StatusNotFound, nil)
	}
}

func reply(w http.ResponseWriter, err error, end int64, body any) {
	var e *backend.LogError
	switch {
	case err == nil:
		answer(w, http.StatusOK, body)
	case !errors.As(err, &e):
		answer(w, http.StatusBadRequest, nil)
	case e.Kind == backend.LogEndMismatch:
		answer(w, http.StatusPreconditionFailed, map[string]any{"End": end})
	case e.Kind == backend.LogFenced:
		answer(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
	case e.Kind == backend.LogWrongSequence:
		answer(w, http.StatusConflict, map[string]any{"Reason": "seq", "Seq": e.ExpectedSequence})
	case e.Kind == backend.LogInvalid:
		answer(w, http.StatusRequestEntityTooLarge, nil)
	case e.Kind == backend.LogTrimmed:
		answer(w, http.StatusGone, nil)
	default:
		answer(w, http.StatusServiceUnavailable, nil)
	}
}

func split(body []byte) []backend.KeyedRecord {
	var records []backend.KeyedRecord
	for len(body) > 4 {
		size := binary.BigEndian.Uint32(body)
		record := body[4 : 4+size]
		body = body[4+size:]
		key := int(record[0])
		records = append(records, backend.KeyedRecord{Key: string(record[1 : 1+key]), Value: bytes.Clone(record[1+key:])})
	}
	return records
}

func join(records []backend.KeyedRecord) []byte {
	var out []byte
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.Key)+len(r.Value)))
		out = append(append(append(out, byte(len(r.Key))), r.Key...), r.Value...)
	}
	return out
}

package caller

import (
	"sync"
	"time"

	"corianderhub.dev/corianderhub/pkg/admin"
)

// journalSize is the number of requests that the journal keeps.
const journalSize = 4096

// Journal keeps how the most recent requests were handled, for the explain API
// of operators. When it is full, the oldest record is evicted. The zero value
// is ready for use.
type Journal struct {
	mu      sync.Mutex
	records map[string]*Record
	order   []string
}

// Record holds the handling of one request. It is safe for concurrent use.
type Record struct {
	mu sync.Mutex
	admin.Explanation
}

// newRecord adds a record for a request and evicts the oldest one if there are
// more than journalSize.
func (jo *Journal) newRecord(id, path string, now time.Time) *Record {
	re := &Record{Explanation: admin.Explanation{ID: id, Path: path, Begin: now}}
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if jo.records == nil {
		jo.records = make(map[string]*Record)
	}
	jo.records[id] = re
	jo.order = append(jo.order, id)
	if len(jo.order) > journalSize {
		delete(jo.records, jo.order[0])
		jo.order = jo.order[1:]
	}
	return re
}

// Find returns a copy of the record of a request, and false if there is none.
func (jo *Journal) Find(id string) (admin.Explanation, bool) {
	jo.mu.Lock()
	re, ok := jo.records[id]
	jo.mu.Unlock()
	if !ok {
		return admin.Explanation{}, false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	data := re.Explanation
	data.Attempts = append([]admin.Attempt(nil), re.Attempts...)
	return data, true
}

func (re *Record) setWorkspace(name string) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.Workspace = name
}

func (re *Record) addAttempt(at admin.Attempt) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.Attempts = append(re.Attempts, at)
}

func (re *Record) finish(outcome string, err error) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.Outcome = outcome
	if err != nil {
		re.Error = err.Error()
	}
}

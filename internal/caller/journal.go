package caller

import (
	"sync"
	"time"
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
	RecordData
}

// RecordData is the content of a Record as the explain API returns it.
type RecordData struct {
	ID        string    `json:"id"`
	Path      string    `json:"path"`
	Workspace string    `json:"workspace"`
	Begin     time.Time `json:"begin"`
	Attempts  []Attempt `json:"attempts"`
	Outcome   string    `json:"outcome"`
	Error     string    `json:"error,omitempty"`
}

// Attempt is one step in the handling of a request: a dispatch to a target, or
// its result.
type Attempt struct {
	At time.Time `json:"at"`
	// Target is the ID of a group or the address of a service.
	Target string `json:"target"`
	// Reason states why the target was chosen, or the result of the attempt.
	Reason string `json:"reason"`
	// Load is the estimated load of a group in tokens at that time.
	Load int64 `json:"load"`
}

// newRecord adds a record for a request and evicts the oldest one if there are
// more than journalSize.
func (jo *Journal) newRecord(id, path string, now time.Time) *Record {
	re := &Record{RecordData: RecordData{ID: id, Path: path, Begin: now}}
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
func (jo *Journal) Find(id string) (RecordData, bool) {
	jo.mu.Lock()
	re, ok := jo.records[id]
	jo.mu.Unlock()
	if !ok {
		return RecordData{}, false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	data := re.RecordData
	data.Attempts = append([]Attempt(nil), re.Attempts...)
	return data, true
}

func (re *Record) setWorkspace(name string) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.Workspace = name
}

func (re *Record) addAttempt(at Attempt) {
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

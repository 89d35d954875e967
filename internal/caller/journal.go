package caller

import (
	"sync"
	"time"
)

// journalSize is how many requests a daemon can explain.
const journalSize = 4096

// Journal remembers how the last requests were handled. The zero value is
// ready for use.
type Journal struct {
	mu      sync.Mutex
	records map[string]*Record
	order   []string
}

// Record is the handling of one request.
type Record struct {
	mu sync.Mutex
	RecordData
}

// RecordData is what a Record holds.
type RecordData struct {
	ID        string    `json:"id"`
	Path      string    `json:"path"`
	Workspace string    `json:"workspace"`
	Begin     time.Time `json:"begin"`
	Attempts  []Attempt `json:"attempts"`
	Outcome   string    `json:"outcome"`
	Error     string    `json:"error,omitempty"`
}

// Attempt is one dispatch, or the decision not to dispatch.
type Attempt struct {
	At time.Time `json:"at"`
	// Target is the group or address.
	Target string `json:"target"`
	// Reason says why the target was chosen, or what came of it.
	Reason string `json:"reason"`
	// Load is the target's estimated load in tokens.
	Load int64 `json:"load"`
}

func (jo *Journal) open(id, path string, now time.Time) *Record {
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

// Find returns what is known of a request.
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

func (re *Record) workspace(name string) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.Workspace = name
}

func (re *Record) attempt(at Attempt) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.Attempts = append(re.Attempts, at)
}

func (re *Record) close(outcome string, err error) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.Outcome = outcome
	if err != nil {
		re.Error = err.Error()
	}
}

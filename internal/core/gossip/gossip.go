// Package gossip keeps a table of small documents that daemons copy from each
// other: who the daemons are, the list of VMs and the assignment of each
// fabric domain. Each document has one author at a time and a revision that
// only grows; a table moves to higher revisions and never back.
//
// Two daemons compare a hash of all names and revisions. Only when it differs
// do they exchange the revisions and then the documents, so that the traffic
// of a quiet system does not grow with the number of documents.
package gossip

import (
	"encoding/binary"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Doc is one document.
type Doc struct {
	Name     string
	Revision uint64
	Value    []byte
}

// Table holds the newest known document of each name. Make it with NewTable.
type Table struct {
	docs map[string]Doc
	hash uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{docs: make(map[string]Doc)} }

// Put stores the document if it is newer than the one known, and tells
// whether it did.
func (tb *Table) Put(do Doc) bool {
	old, ok := tb.docs[do.Name]
	if ok && old.Revision >= do.Revision {
		return false
	}
	if ok {
		tb.hash ^= mark(old.Name, old.Revision)
	}
	tb.hash ^= mark(do.Name, do.Revision)
	tb.docs[do.Name] = do
	return true
}

// Drop forgets a document.
func (tb *Table) Drop(name string) {
	if old, ok := tb.docs[name]; ok {
		tb.hash ^= mark(old.Name, old.Revision)
		delete(tb.docs, name)
	}
}

// Get returns the document of that name; its revision is 0 if there is none.
func (tb *Table) Get(name string) Doc { return tb.docs[name] }

// Hash identifies the set of names and revisions.
func (tb *Table) Hash() uint64 { return tb.hash }

// Revisions returns the revision of each document.
func (tb *Table) Revisions() map[string]uint64 {
	revs := make(map[string]uint64, len(tb.docs))
	for name, do := range tb.docs {
		revs[name] = do.Revision
	}
	return revs
}

// Newer returns the documents that are newer than what a peer has.
func (tb *Table) Newer(have map[string]uint64) []Doc {
	var docs []Doc
	for name, do := range tb.docs {
		if do.Revision > have[name] {
			docs = append(docs, do)
		}
	}
	return docs
}

// All returns the documents by name. The map is the caller's own.
func (tb *Table) All() map[string]Doc { return maps.Clone(tb.docs) }

func mark(name string, revision uint64) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], revision)
	var di xxhash.Digest
	di.Reset()
	di.WriteString(name)
	di.Write(buf[:])
	return di.Sum64()
}

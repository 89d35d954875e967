// Package gossip keeps a table of small documents that daemons replicate by
// pulling from each other: the daemons themselves, the list of VMs, the
// stewards, and the assignment of each fabric domain. A document has one author
// at a time and a revision that only grows. A table accepts only revisions
// higher than the stored one.
//
// Daemons compare a hash of all names and revisions. They exchange revisions
// and then documents only if the hashes differ, so in a steady state the
// traffic does not depend on the number of documents.
package gossip

import (
	"encoding/binary"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Doc is a replicated document. Value holds its JSON encoding.
type Doc struct {
	Name     string
	Revision uint64
	Value    []byte
}

// Table holds the newest received revision of each document. Use NewTable to
// create one. A Table is not safe for concurrent use.
type Table struct {
	docs map[string]Doc
	// hash is the XOR of docHash over all documents.
	hash uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{docs: make(map[string]Doc)} }

// Put stores do if its revision is higher than the stored one and reports
// whether it did.
func (tb *Table) Put(do Doc) bool {
	old, ok := tb.docs[do.Name]
	if ok && old.Revision >= do.Revision {
		return false
	}
	if ok {
		tb.hash ^= docHash(old.Name, old.Revision)
	}
	tb.hash ^= docHash(do.Name, do.Revision)
	tb.docs[do.Name] = do
	return true
}

// Drop removes the named document, if present.
func (tb *Table) Drop(name string) {
	if old, ok := tb.docs[name]; ok {
		tb.hash ^= docHash(old.Name, old.Revision)
		delete(tb.docs, name)
	}
}

// Get returns the named document, or the zero Doc, with revision 0, if there is
// none.
func (tb *Table) Get(name string) Doc { return tb.docs[name] }

// Hash returns a hash of the set of names and revisions. Two tables with equal
// hashes are treated as equal.
func (tb *Table) Hash() uint64 { return tb.hash }

// Revisions returns the revision of each document by name.
func (tb *Table) Revisions() map[string]uint64 {
	revs := make(map[string]uint64, len(tb.docs))
	for name, do := range tb.docs {
		revs[name] = do.Revision
	}
	return revs
}

// Newer returns the documents whose revision is higher than the one in have, in
// no particular order. A name missing from have counts as revision 0.
func (tb *Table) Newer(have map[string]uint64) []Doc {
	var docs []Doc
	for name, do := range tb.docs {
		if do.Revision > have[name] {
			docs = append(docs, do)
		}
	}
	return docs
}

// All returns a copy of the table's documents by name.
func (tb *Table) All() map[string]Doc { return maps.Clone(tb.docs) }

// docHash returns the hash of one name and revision.
func docHash(name string, revision uint64) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], revision)
	var di xxhash.Digest
	di.Reset()
	di.WriteString(name)
	di.Write(buf[:])
	return di.Sum64()
}

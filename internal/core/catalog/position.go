package catalog

// Position is a point in the store's history. The store may be restored from a copy that is
// some seconds old. It then gives revisions out again, for other writes, so revisions are
// comparable within one era only.
type Position struct {
	// Era counts the restores. It is 0 for a store that doesn't name it.
	Era      int64
	Revision int64
}

// Before reports whether po is earlier than other.
func (po Position) Before(other Position) bool {
	if po.Era != other.Era {
		return po.Era < other.Era
	}
	return po.Revision < other.Revision
}

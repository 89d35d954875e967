package entry

// handleRestore handles a restore of the store from a copy: what was written since the copy was
// made is gone, and revisions are given out again.
func (ct *control) handleRestore(before, era int64) {
	ct.da.Log.Warn("store: restored from a copy.", "era", era, "before", before)
}

package platform

// numberBits is the part of a revision that holds the number which the service gave the write. At
// the rate of the largest deployment it lasts for ten years in one era.
const numberBits = 40

// NewRevision returns the revision of the write that the service numbered so in an era. The service
// gives numbers out again after it has been restored from a copy; revisions of different eras differ,
// and those of a later era are higher. Number 0, an absent key, has revision 0 in every era.
func NewRevision(era, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return era<<numberBits | number
}

// EraOf returns the era of a revision, which counts the restores of the service. It is 0 for the
// revision of an absent key.
func EraOf(revision uint64) uint64 { return revision >> numberBits }

// NumberOf returns the number that the service gave a write.
func NumberOf(revision uint64) uint64 { return revision & (1<<numberBits - 1) }

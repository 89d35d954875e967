package quarantine

// maxProven bounds the parts in each of the two generations of a provenParts.
const maxProven = 4096

// provenParts holds the parts with which requests have completed lately. Once a generation is full,
// the one before it is forgotten. The zero value is empty.
type provenParts struct {
	current, previous map[Fingerprint]struct{}
}

func (pp *provenParts) add(part Fingerprint) {
	if _, ok := pp.current[part]; ok {
		return
	}
	if pp.current == nil || len(pp.current) >= maxProven {
		pp.current, pp.previous = make(map[Fingerprint]struct{}), pp.current
	}
	pp.current[part] = struct{}{}
}

func (pp *provenParts) contains(part Fingerprint) bool {
	if _, ok := pp.current[part]; ok {
		return true
	}
	_, ok := pp.previous[part]
	return ok
}

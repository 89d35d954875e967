package mesh

import (
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// maxDaemons bounds the daemons that one knows.
	maxDaemons = 1 << 12
	// maxAge bounds ages and spans in a heartbeat; minAge allows for clocks that are read twice.
	maxAge = 100 * 365 * 24 * time.Hour
	minAge = -time.Second
)

// check returns an error that names the first value of a heartbeat that no daemon sends. A heartbeat
// is used as a whole or not at all.
func (be *Heartbeat) check() error {
	for _, num := range []int64{be.Started, be.Term, be.AckTerm, be.ViewSequence, be.ConfigRevision, be.ConfigVersion, be.StoreEra} {
		if num < 0 || num > catalog.MaxNumber {
			return eris.Errorf("heartbeat: number %d out of range", num)
		}
	}
	for _, span := range []time.Duration{be.StateAge, be.PromiseDuration, be.Uptime} {
		if span < minAge || span > maxAge {
			return eris.Errorf("heartbeat: span %v out of range", span)
		}
	}
	if be.LostPaths < 0 || be.MilliCPU < 0 {
		return eris.Errorf("heartbeat: negative count of paths (%d) or CPU share (%d)", be.LostPaths, be.MilliCPU)
	}
	if be.Change != nil {
		return be.Change.Check()
	}
	return nil
}

package steward

import "corianderhub.dev/corianderhub/internal/core/catalog"

const (
	// epochBits is the number of low bits of an epoch that count the groups of one term.
	epochBits = 20
	// maxEntryEpoch bounds the epochs that count although only an entry shows them. The epochs
	// above it up to catalog.MaxEpoch are left to count on.
	maxEntryEpoch = catalog.MaxEpoch / 2
)

// nextEpoch issues the next epoch. Epochs grow with terms and within a term. After a restore of
// the store a term may be lower than one that endpoints have seen, so the epochs that they report
// count too.
func (co *Core) nextEpoch() int64 {
	co.epochCounter++
	co.maxEpoch++
	if co.Term <= catalog.MaxEpoch>>epochBits {
		co.maxEpoch = max(co.maxEpoch, co.Term<<epochBits+co.epochCounter)
	}
	return co.maxEpoch
}

// observeEpoch counts an epoch that a VM reports or its entry shows. One out of range is no epoch
// that a steward issued, and counting on from it would soon issue epochs that no daemon accepts.
func (co *Core) observeEpoch(vm *vm, epoch int64) {
	if epoch <= maxEntryEpoch || vm.reported && epoch <= catalog.MaxEpoch {
		co.maxEpoch = max(co.maxEpoch, epoch)
	}
}

package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// minSilence and maxSilence bound how long a sound server is silent.
	minSilence, maxSilence = 300 * time.Millisecond, 2 * time.Second
	// soundTime is the least time between two silences of one server.
	soundTime = 500 * time.Millisecond
	// silentDomains is the number of fabric domains of runs with silent servers.
	silentDomains = 2
	// minShare and maxShare bound a model's share of the work.
	minShare, maxShare = 0.15, 0.85
)

// silences are the faults that a run draws besides if Soak.Silences is set.
var silences = []fault{
	{"server silent", true, 3, silenceServer},
	{"servers of a domain silent", true, 2, silenceDomain},
	{"several servers silent", true, 2, silenceSeveral},
	{"shares of models", true, 3, changeShares},
}

// silenceServer makes one server silent for a time.
func silenceServer(so *Soak, rnd *rand.Rand, _ time.Duration) {
	so.silence(rnd, pick(rnd, so.serverIDs()))
}

// silenceDomain makes all model servers of a fabric domain silent for a time.
func silenceDomain(so *Soak, rnd *rand.Rand, _ time.Duration) {
	domain := so.deployment.Fleet.Domain(pick(rnd, so.deployment.IDs("engine")))
	so.silence(rnd, so.deployment.Fleet.InDomain(domain)...)
}

// silenceSeveral makes two or more servers silent for a time.
func silenceSeveral(so *Soak, rnd *rand.Rand, _ time.Duration) {
	ids := so.serverIDs()
	rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	so.silence(rnd, ids[:min(len(ids), 2+rnd.IntN(len(ids)))]...)
}

// silence makes servers silent for a random time and waits until they may fall silent again. It leaves
// out those that are or were silent because of another fault.
func (so *Soak) silence(rnd *rand.Rand, ids ...string) {
	so.silenceFor(minSilence+time.Duration(rnd.Int64N(int64(maxSilence-minSilence))), ids...)
}

// silenceFor is silence for a given time.
func (so *Soak) silenceFor(dur time.Duration, ids ...string) {
	ids = slices.DeleteFunc(ids, func(id string) bool { return !so.reserve(silenceOf, id) })
	if len(ids) == 0 {
		return
	}
	so.Log.Info("soak: servers fall silent.", "servers", ids, "for", dur)
	so.deployment.Silence(dur, ids...)
	so.sleep(dur + soundTime)
	for _, id := range ids {
		so.release(silenceOf, id)
	}
}

// changeShares publishes a configuration with other shares of the models.
func changeShares(so *Soak, rnd *rand.Rand, _ time.Duration) {
	large := minShare + rnd.Float64()*(maxShare-minShare)
	so.deployment.SetShare(emulator.ModelLarge, large)
	so.deployment.SetShare(emulator.ModelSmall, 1-large)
	so.configure()
}

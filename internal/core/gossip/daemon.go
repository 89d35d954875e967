package gossip

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// State is a daemon's state as known to the others.
type State string

// States of a daemon.
const (
	// Serving daemons take requests.
	Serving State = "serving"
	// Leaving daemons finish what they have; callers are no longer sent there.
	Leaving State = "leaving"
	// Dead daemons did not answer several others' pulls.
	Dead State = "dead"
)

// Forget is how long a dead daemon's document is kept, so that no neighbour
// that still has an older one brings it back.
const DeadRetention = 10 * time.Minute

// Daemon describes one daemon to the others. Its author is the daemon itself,
// or whoever found it dead; the daemon answers a false report of its death
// with a higher revision.
type Daemon struct {
	Name       string `json:"name"`
	DataCenter string `json:"data-center"`
	Region     string `json:"region"`
	// Caller and Peer are the addresses for callers and for other daemons.
	Caller string    `json:"caller"`
	Peer   string    `json:"peer"`
	State  State     `json:"state"`
	Since  time.Time `json:"since"`
}

// DaemonPrefix begins the names of documents that hold a Daemon.
const DaemonPrefix = "daemons/"

// Ranked returns up to num of the daemons in the order of their rendezvous
// hash with key. Daemons that know the same others agree on the order without
// a message, and a daemon's coming or going moves only the keys it ranks for.
func Ranked(dms []Daemon, key string, num int) []Daemon {
	type scored struct {
		dm    Daemon
		score uint64
	}
	scores := make([]scored, len(dms))
	for i, dm := range dms {
		scores[i] = scored{dm, rendezvous(dm.Name, key)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.dm.Name, b.dm.Name))
	})
	var top []Daemon
	for _, sc := range scores[:min(num, len(scores))] {
		top = append(top, sc.dm)
	}
	return top
}

func rendezvous(name, key string) uint64 {
	hs := fnv.New64a()
	hs.Write([]byte(name))
	hs.Write([]byte{0})
	hs.Write([]byte(key))
	// FNV's high bits mix little for short keys: finish with a multiply-shift.
	sum := hs.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}

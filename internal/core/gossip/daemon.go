package gossip

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// State is a daemon's state as recorded in its document.
type State string

// States of a daemon.
const (
	// Serving daemons accept requests.
	Serving State = "serving"
	// Leaving daemons finish their open requests and are no longer offered to
	// callers.
	Leaving State = "leaving"
	// Dead daemons failed to answer several pulls in a row.
	Dead State = "dead"
)

// DeadRetention is how long the document of a dead daemon is retained. Removing
// it earlier would let a peer with an older revision bring the daemon back.
const DeadRetention = 10 * time.Minute

// Daemon describes a daemon to its peers. The document is written by the daemon
// itself or by a peer that declares it dead. A daemon wrongly declared dead
// publishes itself again at a higher revision.
type Daemon struct {
	Name       string `json:"name"`
	DataCenter string `json:"data-center"`
	Region     string `json:"region"`
	// Caller and Peer are the addresses (host:port) for callers and for other
	// daemons.
	Caller string `json:"caller"`
	Peer   string `json:"peer"`
	State  State  `json:"state"`
	// Since is when the author of the document set State.
	Since time.Time `json:"since"`
}

// DaemonPrefix is the prefix of the names of documents that hold a Daemon.
const DaemonPrefix = "daemons/"

// Ranked returns up to num daemons ordered by their rendezvous hash with key.
// Daemons that share the same list agree on the order without exchanging
// messages. Adding or removing a daemon changes the assignment of only those
// keys for which it ranks among the first num.
func Ranked(dms []Daemon, key string, num int) []Daemon {
	type scored struct {
		dm    Daemon
		score uint64
	}
	scores := make([]scored, len(dms))
	for i, dm := range dms {
		scores[i] = scored{dm, rendezvousScore(dm.Name, key)}
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

// rendezvousScore returns the rank of the named daemon for key; the highest
// score ranks first.
func rendezvousScore(name, key string) uint64 {
	hs := fnv.New64a()
	hs.Write([]byte(name))
	hs.Write([]byte{0})
	hs.Write([]byte(key))
	// The high bits of FNV are poorly mixed for short keys, so finish with a
	// multiply-shift step.
	sum := hs.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}

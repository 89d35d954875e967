package control

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/permit"
)

// PullResponse is a daemon's response to a pull. It is kept small because every
// daemon requests about pullFanout of them per Timing.Pull.
type PullResponse struct {
	// Name is the responding daemon, DocsHash the hash of its document table,
	// and ConfigRevision the revision of its configuration, 0 if it has none.
	Name           string        `cbor:"1,keyasint"`
	DocsHash       uint64        `cbor:"2,keyasint"`
	ConfigRevision uint64        `cbor:"3,keyasint"`
	Permits        []GroupDigest `cbor:"4,keyasint,omitempty"`
}

// GroupDigest is the evidence for one group in a PullResponse. It is encoded as
// an array, in the order of its fields.
type GroupDigest struct {
	_ struct{} `cbor:",toarray"`
	// Hash is the groupHash of the group and its fencing token.
	Hash uint64
	// Leader is the index of the leader in the group's members.
	Leader uint8
	// AgeMS is the age of the evidence, in milliseconds, when the response was
	// built.
	AgeMS uint32
	// Pending and Resident are in units of 1,024 tokens; Requests is a count.
	Pending  uint32
	Resident uint32
	Requests uint32
}

// tokensUnit is the number of tokens per unit of GroupDigest.Pending and
// Resident.
const tokensUnit = 1024

// groupHash returns the hash of the group's ID and the low 40 bits of its
// fencing token. It is part of the protocol between daemons.
func groupHash(gr fleet.Group) uint64 {
	var di xxhash.Digest
	di.Reset()
	di.WriteString(gr.ID)
	di.Write([]byte{byte(gr.Fence), byte(gr.Fence >> 8), byte(gr.Fence >> 16), byte(gr.Fence >> 24), byte(gr.Fence >> 32)})
	return di.Sum64()
}

func (co *Core) self() gossip.Daemon {
	return gossip.Daemon{Name: co.set.Name, DataCenter: co.set.DataCenter, Region: co.set.Region,
		Caller: co.set.Caller, Peer: co.set.Peer, State: co.state, Since: co.now}
}

func (co *Core) publishSelf(revision uint64) {
	co.publish(gossip.DaemonPrefix+co.set.Name, revision, co.self())
}

// publish stores a document with val as its value, encoded as JSON. Peers
// receive it with their next pull.
func (co *Core) publish(name string, revision uint64, val any) {
	raw, err := json.Marshal(val)
	if err != nil {
		return
	}
	co.applyDoc(gossip.Doc{Name: name, Revision: revision, Value: raw})
}

// leave publishes the state Leaving and ends the stewardship of this daemon.
func (co *Core) leave() {
	if co.state == gossip.Leaving {
		return
	}
	co.state = gossip.Leaving
	co.publishSelf(co.SelfRevision() + 1)
	co.stepDown()
}

// PullAt returns the response to a pull that arrives at now.
func (co *Core) PullAt(now time.Time) PullResponse {
	co.now = now
	an := PullResponse{Name: co.set.Name, DocsHash: co.docs.Hash()}
	if co.cfgKnown {
		an.ConfigRevision = co.cfg.Revision
	}
	for _, ev := range co.permits.Fresh(co.now) {
		gr, ok := co.groups[ev.Group]
		if !ok || gr.Fence != ev.Fence {
			continue
		}
		leader := slices.IndexFunc(gr.Members, func(me fleet.Member) bool { return me.VM == ev.Leader })
		if leader < 0 {
			continue
		}
		an.Permits = append(an.Permits, GroupDigest{
			Hash:     groupHash(gr),
			Leader:   uint8(leader),
			AgeMS:    uint32(co.now.Sub(ev.At).Milliseconds()) + 1,
			Pending:  uint32(ev.Load.PendingTokens / tokensUnit),
			Resident: uint32(ev.Load.ResidentTokens / tokensUnit),
			Requests: uint32(ev.Load.Requests),
		})
	}
	return an
}

// pullRound pulls from a few peers: first those suspected dead, then random
// partners, mostly of this data centre. In every fifth round it adds a seed or
// a dead daemon, so that the daemons find each other again after a network
// partition.
func (co *Core) pullRound() {
	if !co.due("pull", co.set.Timing.Pull) {
		return
	}
	co.round++
	picked := append([]string(nil), co.suspects...)
	co.suspects = nil
	local, remote, dead := co.peers()
	if co.round%5 == 0 || len(local)+len(remote) == 0 {
		picked = append(picked, sample(append(addresses(dead), co.set.Seeds...), 1)...)
	}
	picked = append(picked, sample(co.partners(local, localPartners), pullFanout-1)...)
	picked = append(picked, sample(co.partners(remote, remotePartners), 1)...)
	for _, addr := range picked {
		if addr != co.set.Peer {
			co.emitOnce(keyPull+addr, Pull{Peer: addr, Revision: co.SelfRevision()})
		}
	}
}

// partners returns the addresses of the daemons in dms that this daemon pulls
// from: num of them by rendezvous hash, plus the successor by name, so that
// every daemon is pulled from by at least one other. The set is stable because
// the connection handshakes with ever-changing partners would cost many times
// as much as the pulls.
func (co *Core) partners(dms []gossip.Daemon, num int) []string {
	picked := gossip.Ranked(dms, co.set.Name, num)
	if next := co.successor(dms); next >= 0 && !slices.Contains(picked, dms[next]) {
		picked = append(picked, dms[next])
	}
	return addresses(picked)
}

// successor returns the index of the first daemon whose name follows this
// one's, wrapping around to 0, or -1 if dms is empty. dms must be sorted by
// name.
func (co *Core) successor(dms []gossip.Daemon) int {
	if len(dms) == 0 {
		return -1
	}
	next := slices.IndexFunc(dms, func(dm gossip.Daemon) bool { return dm.Name > co.set.Name })
	return max(0, next)
}

func addresses(dms []gossip.Daemon) []string {
	var addrs []string
	for _, dm := range dms {
		addrs = append(addrs, dm.Peer)
	}
	return addrs
}

// regionPeers returns the peer addresses of the live daemons of this region,
// which may hold permits for its groups.
func (co *Core) regionPeers() []string {
	local, remote, _ := co.peers()
	remote = slices.DeleteFunc(remote, func(dm gossip.Daemon) bool { return dm.Region != co.set.Region })
	return addresses(append(local, remote...))
}

// peers returns the other daemons, each list in order of name: the live ones of
// this data centre, the live ones of other data centres, and the dead ones.
func (co *Core) peers() (local, remote, dead []gossip.Daemon) {
	for _, name := range sortedKeys(co.daemons) {
		dm := co.daemons[name]
		switch {
		case name == co.set.Name:
		case dm.State == gossip.Dead:
			dead = append(dead, dm)
		case dm.DataCenter == co.set.DataCenter:
			local = append(local, dm)
		default:
			remote = append(remote, dm)
		}
	}
	return local, remote, dead
}

// sample returns up to num addresses chosen at random.
func sample(addrs []string, num int) []string {
	addrs = slices.Clone(addrs)
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(num, len(addrs))]
}

// pullReceived pulls back from a daemon that is unknown or whose document is
// out of date here. Documents flow only toward the daemon that pulls: without
// the pull back, a daemon unknown to all others would never be discovered.
func (co *Core) pullReceived(ev PullReceived) {
	known := co.docs.Get(gossip.DaemonPrefix + co.daemonByPeer(ev.Peer)).Revision
	if known < ev.Revision && ev.Peer != co.set.Peer {
		co.emitOnce(keyPull+ev.Peer, Pull{Peer: ev.Peer, Revision: co.SelfRevision()})
	}
}

// SelfRevision returns the revision of this daemon's own document.
func (co *Core) SelfRevision() uint64 {
	return co.docs.Get(gossip.DaemonPrefix + co.set.Name).Revision
}

// pulled applies the evidence in a peer's response and fetches the documents and
// the configuration that this daemon lacks.
func (co *Core) pulled(ev Pulled) {
	delete(co.inFlight, keyPull+ev.Peer)
	delete(co.pullFailures, ev.Peer)
	for _, gd := range ev.Response.Permits {
		co.addDigest(gd, ev)
	}
	if ev.Response.DocsHash != co.docs.Hash() {
		co.emitOnce(keyDocs+ev.Peer, FetchDocs{Peer: ev.Peer, Have: co.docs.Revisions()})
	}
	if ev.Response.ConfigRevision > co.cfg.Revision || (!co.cfgKnown && ev.Response.ConfigRevision > 0) {
		co.emitOnce(SourcePeerConfig, FetchConfig{Peer: ev.Peer, After: co.cfg.Revision})
	}
}

// addDigest adds evidence from a peer. Its age is subtracted from the time at
// which the pull was sent, so that transit time never makes it look newer.
func (co *Core) addDigest(gd GroupDigest, ev Pulled) {
	gr, ok := co.groups[co.groupByHash[gd.Hash]]
	if !ok || int(gd.Leader) >= len(gr.Members) {
		return
	}
	co.permits.Add(permit.Evidence{
		Group:  gr.ID,
		Fence:  gr.Fence,
		Leader: gr.Members[gd.Leader].VM,
		At:     ev.SentAt.Add(-millis(gd.AgeMS)),
		Load: fleet.Load{
			PendingTokens:  int64(gd.Pending) * tokensUnit,
			ResidentTokens: int64(gd.Resident) * tokensUnit,
			Requests:       int(gd.Requests),
		},
	})
}

// pullFailed marks the peer as suspect. After deadAfterFailures consecutive
// failures it declares the daemon dead. A daemon that is alive refutes this by
// publishing its document again at a higher revision.
func (co *Core) pullFailed(ev PullFailed) {
	delete(co.inFlight, keyPull+ev.Peer)
	co.pullFailures[ev.Peer]++
	name := co.daemonByPeer(ev.Peer)
	if name == "" || co.daemons[name].State == gossip.Dead {
		return
	}
	if co.pullFailures[ev.Peer] < deadAfterFailures {
		co.suspects = append(co.suspects, ev.Peer)
		return
	}
	dm := co.daemons[name]
	dm.State = gossip.Dead
	dm.Since = co.now
	doc := gossip.DaemonPrefix + name
	co.publish(doc, co.docs.Get(doc).Revision+1, dm)
}

// daemonByPeer returns the name of the daemon with the given peer address, or
// "" if there is none other than this daemon.
func (co *Core) daemonByPeer(peer string) string {
	for _, name := range sortedKeys(co.daemons) {
		if co.daemons[name].Peer == peer && name != co.set.Name {
			return name
		}
	}
	return ""
}

// Newer returns the documents whose revision is higher than the one in have.
func (co *Core) Newer(have map[string]uint64) []gossip.Doc { return co.docs.Newer(have) }

func (co *Core) docsArrived(ev DocsArrived) {
	delete(co.inFlight, keyDocs+ev.Peer)
	for _, do := range ev.Docs {
		co.applyDoc(do)
	}
}

// applyDoc stores a document if it is newer and updates the state derived from
// documents of its kind. It ignores unknown kinds.
func (co *Core) applyDoc(do gossip.Doc) {
	kind, _, _ := strings.Cut(do.Name, "/")
	switch kind {
	case "daemons":
		co.applyDaemon(do)
	case "domains":
		co.applyDomain(do)
	case "vms":
		co.applyVMs(do)
	case "stewards":
		co.applySteward(do)
	}
}

// applyDaemon applies the document of a daemon. It ignores an unknown daemon
// that has been dead for longer than gossip.DeadRetention, and refutes a
// document that gives a wrong state for this daemon.
func (co *Core) applyDaemon(do gossip.Doc) {
	var dm gossip.Daemon
	if json.Unmarshal(do.Value, &dm) != nil {
		return
	}
	_, known := co.daemons[dm.Name]
	if !known && dm.State == gossip.Dead && co.now.Sub(dm.Since) > gossip.DeadRetention {
		return
	}
	if !co.docs.Put(do) {
		return
	}
	if dm.Name == co.set.Name && dm.State != co.state {
		co.publishSelf(do.Revision + 1)
		return
	}
	co.daemons[dm.Name] = dm
	delete(co.pullFailures, dm.Peer)
	co.assignProbes()
}

// expireDead removes daemons that have been dead for longer than
// gossip.DeadRetention.
func (co *Core) expireDead() {
	for name, dm := range co.daemons {
		if dm.State == gossip.Dead && co.now.Sub(dm.Since) > gossip.DeadRetention {
			delete(co.daemons, name)
			co.docs.Drop(gossip.DaemonPrefix + name)
		}
	}
}

// localDaemons returns the serving daemons of this data centre, in order of
// name. They share its probing and may become steward.
func (co *Core) localDaemons() []gossip.Daemon {
	var dms []gossip.Daemon
	for _, name := range sortedKeys(co.daemons) {
		dm := co.daemons[name]
		if dm.DataCenter == co.set.DataCenter && dm.State == gossip.Serving {
			dms = append(dms, dm)
		}
	}
	return dms
}

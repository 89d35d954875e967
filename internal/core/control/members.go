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

// PullAnswer is what one daemon tells another in a round. It is kept small:
// it passes three times a second in each direction.
type PullAnswer struct {
	Name           string        `cbor:"1,keyasint"`
	DocsHash       uint64        `cbor:"2,keyasint"`
	ConfigRevision uint64        `cbor:"3,keyasint"`
	Permits        []GroupDigest `cbor:"4,keyasint,omitempty"`
}

// GroupDigest is the evidence for one group in a PullAnswer.
type GroupDigest struct {
	_ struct{} `cbor:",toarray"`
	// Hash stands for the group and its fencing number.
	Hash uint64
	// Leader is the leader's place among the group's members.
	Leader uint8
	// AgeMS is the age of the evidence when the answer was made.
	AgeMS uint32
	// Pending and Resident are in units of 1,024 tokens.
	Pending  uint32
	Resident uint32
	Requests uint32
}

const tokensUnit = 1024

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

func (co *Core) publish(name string, revision uint64, val any) {
	raw, err := json.Marshal(val)
	if err != nil {
		return
	}
	co.take(gossip.Doc{Name: name, Revision: revision, Value: raw})
}

func (co *Core) leave() {
	if co.state == gossip.Leaving {
		return
	}
	co.state = gossip.Leaving
	co.publishSelf(co.SelfRevision() + 1)
	co.stepDown()
}

// PullAt returns this daemon's digest for a peer that asks at now.
func (co *Core) PullAt(now time.Time) PullAnswer {
	co.now = now
	an := PullAnswer{Name: co.set.Name, DocsHash: co.docs.Hash()}
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

// pullRound pulls from a few peers: suspects first, then random ones of this
// daemon's partners, mostly of its data center, and now and then a seed or a
// dead one, so that a cut heals without anybody's help.
func (co *Core) pullRound() {
	if !co.every("pull", co.set.Timing.Pull) {
		return
	}
	co.round++
	picked := append([]string(nil), co.suspect...)
	co.suspect = nil
	near, far, lost := co.peers()
	if co.round%5 == 0 || len(near)+len(far) == 0 {
		picked = append(picked, sample(append(addresses(lost), co.set.Seeds...), 1)...)
	}
	picked = append(picked, sample(co.partners(near, nearPartners), pullPeers-1)...)
	picked = append(picked, sample(co.partners(far, farPartners), 1)...)
	for _, addr := range picked {
		if addr != co.set.Peer {
			co.emitOnce(flyPull+addr, Pull{Peer: addr, Revision: co.SelfRevision()})
		}
	}
}

// partners returns the addresses of the few daemons that this one pulls from:
// num by their rendezvous hash, and the next by name, so that everybody is
// pulled from by somebody. With always new partners the handshakes would cost
// many times what the pulls do.
func (co *Core) partners(dms []gossip.Daemon, num int) []string {
	picked := gossip.Ranked(dms, co.set.Name, num)
	if next := co.successor(dms); next >= 0 && !slices.Contains(picked, dms[next]) {
		picked = append(picked, dms[next])
	}
	return addresses(picked)
}

// successor returns the place of the daemon whose name follows this one's.
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

// region returns the peer addresses of the living daemons of this region, who
// may send to its groups.
func (co *Core) region() []string {
	near, far, _ := co.peers()
	far = slices.DeleteFunc(far, func(dm gossip.Daemon) bool { return dm.Region != co.set.Region })
	return addresses(append(near, far...))
}

// peers returns the other daemons: living ones of this data center, living
// ones elsewhere, and dead ones, each in the order of their names.
func (co *Core) peers() (near, far, lost []gossip.Daemon) {
	for _, name := range sortedKeys(co.daemons) {
		dm := co.daemons[name]
		switch {
		case name == co.set.Name:
		case dm.State == gossip.Dead:
			lost = append(lost, dm)
		case dm.DataCenter == co.set.DataCenter:
			near = append(near, dm)
		default:
			far = append(far, dm)
		}
	}
	return near, far, lost
}

func sample(addrs []string, num int) []string {
	addrs = slices.Clone(addrs)
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(num, len(addrs))]
}

// asked pulls back from a daemon that is not known, or known as it was before.
// Documents flow only towards the one who pulls: without this, a daemon that
// nobody tells of the others would never hear of them.
func (co *Core) asked(ev PullReceived) {
	known := co.docs.Get(gossip.DaemonPrefix + co.daemonAt(ev.Peer)).Revision
	if known < ev.Revision && ev.Peer != co.set.Peer {
		co.emitOnce(flyPull+ev.Peer, Pull{Peer: ev.Peer, Revision: co.SelfRevision()})
	}
}

// SelfRevision returns the revision of this daemon's own document.
func (co *Core) SelfRevision() uint64 {
	return co.docs.Get(gossip.DaemonPrefix + co.set.Name).Revision
}

func (co *Core) pulled(ev Pulled) {
	delete(co.flying, flyPull+ev.Peer)
	delete(co.fails, ev.Peer)
	for _, gd := range ev.Answer.Permits {
		co.addDigest(gd, ev)
	}
	if ev.Answer.DocsHash != co.docs.Hash() {
		co.emitOnce(flyDocs+ev.Peer, FetchDocs{Peer: ev.Peer, Have: co.docs.Revisions()})
	}
	if ev.Answer.ConfigRevision > co.cfg.Revision || (!co.cfgKnown && ev.Answer.ConfigRevision > 0) {
		co.emitOnce(SourcePeerConfig, FetchConfig{Peer: ev.Peer, After: co.cfg.Revision})
	}
}

// addDigest dates the evidence from the moment the peer was asked.
func (co *Core) addDigest(gd GroupDigest, ev Pulled) {
	gr, ok := co.groups[co.byHash[gd.Hash]]
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

// pullFailed suspects the peer. After deadAfter failures in a row the daemon
// there is declared dead; it contradicts when it hears of that.
func (co *Core) pullFailed(ev PullFailed) {
	delete(co.flying, flyPull+ev.Peer)
	co.fails[ev.Peer]++
	name := co.daemonAt(ev.Peer)
	if name == "" || co.daemons[name].State == gossip.Dead {
		return
	}
	if co.fails[ev.Peer] < deadAfter {
		co.suspect = append(co.suspect, ev.Peer)
		return
	}
	dm := co.daemons[name]
	dm.State = gossip.Dead
	dm.Since = co.now
	doc := gossip.DaemonPrefix + name
	co.publish(doc, co.docs.Get(doc).Revision+1, dm)
}

func (co *Core) daemonAt(peer string) string {
	for _, name := range sortedKeys(co.daemons) {
		if co.daemons[name].Peer == peer && name != co.set.Name {
			return name
		}
	}
	return ""
}

// Newer returns the documents that are newer than what a peer has.
func (co *Core) Newer(have map[string]uint64) []gossip.Doc { return co.docs.Newer(have) }

func (co *Core) docsArrived(ev DocsArrived) {
	delete(co.flying, flyDocs+ev.Peer)
	for _, do := range ev.Docs {
		co.take(do)
	}
}

// take stores a document if it is newer and lets its kind take effect.
func (co *Core) take(do gossip.Doc) {
	kind, _, _ := strings.Cut(do.Name, "/")
	switch kind {
	case "daemons":
		co.takeDaemon(do)
	case "domains":
		co.takeDomain(do)
	case "vms":
		co.takeVMs(do)
	case "stewards":
		co.takeSteward(do)
	}
}

func (co *Core) takeDaemon(do gossip.Doc) {
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
	delete(co.fails, dm.Peer)
	co.assign()
}

// forgetDead drops daemons that have been dead for long.
func (co *Core) forgetDead() {
	for name, dm := range co.daemons {
		if dm.State == gossip.Dead && co.now.Sub(dm.Since) > gossip.DeadRetention {
			delete(co.daemons, name)
			co.docs.Drop(gossip.DaemonPrefix + name)
		}
	}
}

// near returns the daemons of this data center that take part in its work.
func (co *Core) near() []gossip.Daemon {
	var dms []gossip.Daemon
	for _, name := range sortedKeys(co.daemons) {
		dm := co.daemons[name]
		if dm.DataCenter == co.set.DataCenter && dm.State == gossip.Serving {
			dms = append(dms, dm)
		}
	}
	return dms
}

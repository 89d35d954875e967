// Package fleet decides which VMs form which groups. The whole assignment of a
// fabric domain is one value that is written by compare-and-swap, so a VM
// cannot be in two groups even if several processes act as the steward at once.
// Orders to engines are derived only from assignments that have already been
// written.
package fleet

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/intent"
)

// Domain is the assignment of one fabric domain. It is stored as the value of
// one key.
type Domain struct {
	Name       string `json:"name"`
	DataCenter string `json:"data-center"`
	// Epoch is the epoch of the steward that wrote last. A new steward writes
	// its epoch into every domain before it acts, so that delayed writes of a
	// predecessor find another revision and fail.
	Epoch uint64 `json:"epoch"`
	// Sequence grows by one with every write. Fencing tokens are taken from it.
	Sequence uint64  `json:"sequence"`
	Groups   []Group `json:"groups"`
}

// Group is one replica: the VMs reserved for it and what they run.
type Group struct {
	ID string `json:"id"`
	// Spec is the name of the declared group that this replica belongs to.
	Spec     string      `json:"spec"`
	Model    string      `json:"model"`
	Version  string      `json:"version"`
	Role     intent.Role `json:"role"`
	Adapters []string    `json:"adapters,omitempty"`
	// Fence is the fencing token of the orders for this group.
	Fence uint64 `json:"fence"`
	// Size is the number of members that serve. The other members are spares.
	Size    int      `json:"size"`
	Members []Member `json:"members"`
	// DrainingSince is the time at which the group stopped accepting new
	// requests. It is zero while the group accepts them.
	DrainingSince time.Time `json:"draining-since,omitzero"`
}

// Member is a VM of a group, together with the incarnation that was assigned.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	// Incarnation identifies one run of the VM; it changes when the VM
	// restarts.
	Incarnation string `json:"incarnation"`
}

// Report is the state that the engine on a VM reports about itself.
type Report struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Group       string `json:"group,omitempty"`
	// Fence and Generation are the fencing token and the ring generation of the
	// last accepted order. Engines that check fencing refuse orders with a
	// lower pair.
	Fence      uint64 `json:"fence,omitempty"`
	Generation uint64 `json:"turn,omitempty"`
	// Ring lists the VMs that serve together, the leader first.
	Ring     []string    `json:"ring,omitempty"`
	Model    string      `json:"model,omitempty"`
	Version  string      `json:"version,omitempty"`
	Role     intent.Role `json:"role,omitempty"`
	Adapters []string    `json:"adapters,omitempty"`
	// Ready means that the weights are loaded and the engine has joined the
	// ring.
	Ready bool `json:"ready,omitempty"`
	// Leaving means that the VM will stop soon.
	Leaving bool `json:"leaving,omitempty"`
	Load    Load `json:"load"`
}

// Load is the work that an engine reports for itself. The figures lag behind
// its actual work.
type Load struct {
	// PendingTokens is the number of tokens still to be processed.
	PendingTokens int64 `json:"pending-tokens"`
	// ResidentTokens is the number of tokens held in memory.
	ResidentTokens int64 `json:"resident-tokens"`
	// Requests is the number of unfinished requests.
	Requests int `json:"requests"`
}

// EqualExceptTokens reports whether two reports of one VM are equal apart from
// the role and the token counts of Load.
func (re Report) EqualExceptTokens(other Report) bool {
	return re.Incarnation == other.Incarnation && re.Group == other.Group && re.Fence == other.Fence &&
		re.Generation == other.Generation && re.Model == other.Model && re.Version == other.Version &&
		re.Ready == other.Ready && re.Leaving == other.Leaving && re.Load.Requests == other.Load.Requests &&
		slices.Equal(re.Ring, other.Ring) && slices.Equal(re.Adapters, other.Adapters)
}

// VM is an entry of the platform's list, which lags behind the actual state.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Leaving means that the VM will be stopped soon.
	Leaving bool `json:"leaving,omitempty"`
}

// Order is an instruction to an engine. It is one of Join, Release and Prepare.
type Order interface {
	// Target returns the VM that the order is for.
	Target() VM
	isOrder()
}

// Join makes a VM a member of a group. The VM loads the weights it lacks and
// joins Ring. A VM of the group that is not in Ring loads the weights and
// remains a spare.
type Join struct {
	VM          VM
	Incarnation string
	Group       Group
	// Ring lists the members that serve together, the leader first. Generation
	// is the number of the ring; it grows whenever the group's ring is re-formed.
	Ring       []Member
	Generation uint64
	// Loads means that the VM has to fetch the weights first.
	Loads bool
}

// Release makes a VM leave any group, after which it is free.
type Release struct {
	VM          VM
	Incarnation string
	// Fence and Generation are above those of the order that the VM followed
	// before, compared as a pair.
	Fence      uint64
	Generation uint64
}

// Prepare makes a free VM load weights ahead of time, so that it can replace a
// lost member without a weight load. The VM stays free.
type Prepare struct {
	VM          VM
	Incarnation string
	Fence       uint64
	Generation  uint64
	Model       string
	Version     string
}

// Target implements Order.
func (pr Prepare) Target() VM { return pr.VM }

// Target implements Order.
func (jo Join) Target() VM { return jo.VM }

// Target implements Order.
func (re Release) Target() VM { return re.VM }

func (Prepare) isOrder() {}
func (Join) isOrder()    {}
func (Release) isOrder() {}

// Check verifies the invariants of one assignment: each VM and each group ID
// occurs once, every group has at least Size members, and no fencing token is
// above Sequence.
func (do Domain) Check() error {
	owner := make(map[string]string)
	ids := make(map[string]bool)
	for _, gr := range do.Groups {
		if ids[gr.ID] {
			return eris.Errorf("duplicate group ID %s", gr.ID)
		}
		ids[gr.ID] = true
		if gr.Size < 1 || len(gr.Members) < gr.Size {
			return eris.Errorf("group %s has %d members, want at least %d", gr.ID, len(gr.Members), gr.Size)
		}
		if gr.Fence > do.Sequence {
			return eris.Errorf("group %s has fencing token %d, above sequence %d", gr.ID, gr.Fence, do.Sequence)
		}
		for _, me := range gr.Members {
			if other, ok := owner[me.VM]; ok {
				return eris.Errorf("VM %s is a member of groups %s and %s", me.VM, other, gr.ID)
			}
			owner[me.VM] = gr.ID
		}
	}
	return nil
}

// Clone returns a copy that shares neither groups nor members with do.
func (do Domain) Clone() Domain {
	next := do
	next.Groups = slices.Clone(do.Groups)
	for i := range next.Groups {
		next.Groups[i].Members = slices.Clone(do.Groups[i].Members)
	}
	return next
}

// Member returns the member that runs on the given VM.
func (gr Group) Member(vm string) (Member, bool) {
	for _, me := range gr.Members {
		if me.VM == vm {
			return me, true
		}
	}
	return Member{}, false
}

// Serves reports whether re comes from a member of gr that serves in ring at
// the assigned incarnation, fencing token, model and version.
func (re Report) Serves(gr Group, ring []string) bool {
	me, ok := gr.Member(re.VM)
	return ok && re.Incarnation == me.Incarnation && re.Group == gr.ID && re.Fence == gr.Fence &&
		re.Model == gr.Model && re.Version == gr.Version &&
		re.Ready && !re.Leaving && slices.Equal(re.Ring, ring)
}

// ServingRing returns the ring in which gr serves. A ring serves if it has
// gr.Size distinct members and the report of each of them, as returned by find,
// shows it serving in that ring.
func (gr Group) ServingRing(find func(vm string) (Report, bool)) ([]string, bool) {
	for _, me := range gr.Members {
		re, ok := find(me.VM)
		if !ok || re.Group != gr.ID || len(re.Ring) != gr.Size || re.Ring[0] != me.VM {
			continue
		}
		if gr.ringServes(re.Ring, find) {
			return re.Ring, true
		}
	}
	return nil, false
}

// ringServes reports whether the VMs of ring are distinct and all report to
// serve gr in it.
func (gr Group) ringServes(ring []string, find func(vm string) (Report, bool)) bool {
	for i, vm := range ring {
		re, ok := find(vm)
		if !ok || !re.Serves(gr, ring) || slices.Contains(ring[:i], vm) {
			return false
		}
	}
	return true
}

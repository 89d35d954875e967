// Package fleet decides which VMs form which groups. The whole assignment of
// a fabric domain is one value under compare-and-swap, so that no VM can be
// in two groups at once whoever believes to be the steward. Orders to engines
// follow only from an assignment that was written before.
package fleet

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/intent"
)

// Domain is the assignment of one fabric domain, the value of its key.
type Domain struct {
	Name       string `json:"name"`
	DataCenter string `json:"data-center"`
	// Epoch is the epoch of the steward that wrote last. A new steward writes
	// its own into every domain before it acts, so that the writes of a
	// predecessor that woke up late meet another revision and fail.
	Epoch uint64 `json:"epoch"`
	// Sequence grows by one with every write; fencing numbers come from it.
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
	// Fence is the fencing number of the orders for this group.
	Fence uint64 `json:"fence"`
	// Size is how many members serve; the others are spares.
	Size    int      `json:"size"`
	Members []Member `json:"members"`
	// DrainingSince is when the group stopped taking new requests; zero
	// while it takes them.
	DrainingSince time.Time `json:"draining-since,omitzero"`
}

// Member is a VM of a group at the incarnation that was assigned.
type Member struct {
	VM          string `json:"vm"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// Report is what the engine on a VM says of itself.
type Report struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Group       string `json:"group,omitempty"`
	Fence       uint64 `json:"fence,omitempty"`
	Generation  uint64 `json:"turn,omitempty"`
	// Ring names the VMs that serve together, the leader first.
	Ring     []string    `json:"ring,omitempty"`
	Model    string      `json:"model,omitempty"`
	Version  string      `json:"version,omitempty"`
	Role     intent.Role `json:"role,omitempty"`
	Adapters []string    `json:"adapters,omitempty"`
	// Ready means that the weights are loaded and the ring is joined.
	Ready bool `json:"ready,omitempty"`
	// Leaving means that the VM will stop soon.
	Leaving bool `json:"leaving,omitempty"`
	Load    Load `json:"load"`
}

// Load is an engine's own account of its work. It lags.
type Load struct {
	PendingTokens  int64 `json:"pending-tokens"`
	ResidentTokens int64 `json:"resident-tokens"`
	Requests       int   `json:"requests"`
}

// Same tells whether two reports differ in nothing but load.
func (re Report) EqualExceptTokens(other Report) bool {
	return re.Incarnation == other.Incarnation && re.Group == other.Group && re.Fence == other.Fence &&
		re.Generation == other.Generation && re.Model == other.Model && re.Version == other.Version &&
		re.Ready == other.Ready && re.Leaving == other.Leaving && re.Load.Requests == other.Load.Requests &&
		slices.Equal(re.Ring, other.Ring) && slices.Equal(re.Adapters, other.Adapters)
}

// VM is an entry of the platform's list. The list lags.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Order tells an engine what to do. It is one of Join, Release and Prepare.
type Order interface {
	// Target is the VM that the order is for.
	Target() VM
	isOrder()
}

// Join makes a VM a member of a group: it loads what it lacks and joins Ring.
// A VM of the group that is not in Ring loads the weights and stands by.
type Join struct {
	VM          VM
	Incarnation string
	Group       Group
	Ring        []Member
	Generation  uint64
	// Loads says that the VM has to fetch the weights first.
	Loads bool
}

// Release makes a VM leave any group and be free.
type Release struct {
	VM          VM
	Incarnation string
	Fence       uint64
	Generation  uint64
}

// Prepare makes a free VM load weights ahead, so that it can take a lost
// member's place without the time of a load. The VM stays free.
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

// Check verifies the invariants of one value: no VM twice, whole groups, no
// fencing number from the future.
func (do Domain) Check() error {
	owner := make(map[string]string)
	ids := make(map[string]bool)
	for _, gr := range do.Groups {
		if ids[gr.ID] {
			return eris.Errorf("group %s stands twice", gr.ID)
		}
		ids[gr.ID] = true
		if gr.Size < 1 || len(gr.Members) < gr.Size {
			return eris.Errorf("group %s has %d members of %d", gr.ID, len(gr.Members), gr.Size)
		}
		if gr.Fence > do.Sequence {
			return eris.Errorf("group %s has fence %d above sequence %d", gr.ID, gr.Fence, do.Sequence)
		}
		for _, me := range gr.Members {
			if other, ok := owner[me.VM]; ok {
				return eris.Errorf("VM %s is in %s and %s", me.VM, other, gr.ID)
			}
			owner[me.VM] = gr.ID
		}
	}
	return nil
}

// Clone returns a deep copy.
func (do Domain) Clone() Domain {
	next := do
	next.Groups = slices.Clone(do.Groups)
	for i := range next.Groups {
		next.Groups[i].Members = slices.Clone(do.Groups[i].Members)
	}
	return next
}

// Member returns the member on that VM.
func (gr Group) Member(vm string) (Member, bool) {
	for _, me := range gr.Members {
		if me.VM == vm {
			return me, true
		}
	}
	return Member{}, false
}

// Serves tells whether the report is that of a member that serves gr in ring
// at the assigned incarnation and version.
func (re Report) Serves(gr Group, ring []string) bool {
	me, ok := gr.Member(re.VM)
	return ok && re.Incarnation == me.Incarnation && re.Group == gr.ID && re.Fence == gr.Fence &&
		re.Model == gr.Model && re.Version == gr.Version &&
		re.Ready && !re.Leaving && slices.Equal(re.Ring, ring)
}

// Whole returns the ring of gr if report of every ring member, as found by
// find, shows it serving in the same ring of gr's size.
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

func (gr Group) ringServes(ring []string, find func(vm string) (Report, bool)) bool {
	for i, vm := range ring {
		re, ok := find(vm)
		if !ok || !re.Serves(gr, ring) || slices.Contains(ring[:i], vm) {
			return false
		}
	}
	return true
}

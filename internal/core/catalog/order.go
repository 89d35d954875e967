package catalog

// Order is an instruction to an endpoint. It is one of Join, OpenGroup,
// CloseGroup, Leave and Stage.
type Order interface{ isOrder() }

// Join makes the endpoint a member of a group. Members holds the IDs in order
// of rank; the first is the leader.
type Join struct {
	Group   string
	Epoch   int64
	Model   string
	Members []string
}

// OpenGroup makes a ready leader accept requests.
type OpenGroup struct {
	Group string
	Epoch int64
}

// CloseGroup makes a leader stop accepting requests.
type CloseGroup struct {
	Group string
	Epoch int64
	// CutOff aborts the group's running requests. Otherwise the group finishes
	// them.
	CutOff bool
}

// Leave makes the endpoint leave the group at once.
type Leave struct {
	Group string
	Epoch int64
}

// Stage copies a model's weights to the endpoint's host in the background.
type Stage struct{ Model string }

func (Join) isOrder()       {}
func (OpenGroup) isOrder()  {}
func (CloseGroup) isOrder() {}
func (Leave) isOrder()      {}
func (Stage) isOrder()      {}

// OrderSummary describes an order for logs. It omits the members of a group, of
// which there can be 32; they are logged once, when the group is formed.
func OrderSummary(order Order) string {
	switch od := order.(type) {
	case Join:
		return "join " + od.Group + " with " + od.Model
	case OpenGroup:
		return "open " + od.Group
	case CloseGroup:
		return "close " + od.Group
	case Leave:
		return "leave " + od.Group
	case Stage:
		return "stage " + od.Model
	}
	return "unknown"
}

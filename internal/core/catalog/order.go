package catalog

// Order tells an endpoint what to do. It is one of Join, OpenGroup,
// CloseGroup, Leave and Stage.
type Order interface{ isOrder() }

// Join makes the endpoint a member of a group. Members are IDs in the order of
// their ranks; the first is the head.
type Join struct {
	Group   string
	Epoch   int64
	Model   string
	Members []string
}

// OpenGroup makes a head that is ready take requests.
type OpenGroup struct {
	Group string
	Epoch int64
}

// CloseGroup makes a head stop taking requests.
type CloseGroup struct {
	Group string
	Epoch int64
	// CutOff ends what the group works on; otherwise the group finishes it.
	CutOff bool
}

// Leave makes the endpoint leave the group at once.
type Leave struct {
	Group string
	Epoch int64
}

// Stage loads a model onto the endpoint's host beside all other work.
type Stage struct{ Model string }

func (Join) isOrder()       {}
func (OpenGroup) isOrder()  {}
func (CloseGroup) isOrder() {}
func (Leave) isOrder()      {}
func (Stage) isOrder()      {}

// Summary tells an order in a few words for logs. The members of a group are told once,
// when it is formed: with 32 of them, each of its orders would name all.
func Summary(order Order) string {
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

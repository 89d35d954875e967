package fleet

// Account counts what the users measure at one moment.
type Stats struct {
	// Down is how many declared replicas do not serve, by declared group.
	Down map[string]int
	// Serving is how many replicas serve, by declared group.
	Serving map[string]int
	// Stranded is how many powered VMs belong to no serving group.
	Stranded int
	// Whole names the groups that serve.
	Whole []string
	// Powered is how many VMs answer.
	Powered int
}

// Count returns the account of a data center.
func Count(in Input) Stats {
	pl := newPlanner(in)
	ac := Stats{Down: make(map[string]int), Serving: make(map[string]int)}
	busy := 0
	for _, lo := range pl.groups(pl.serving) {
		ac.Serving[lo.group().Spec]++
		ac.Whole = append(ac.Whole, lo.group().ID)
		busy += lo.group().Size
	}
	for _, vm := range in.VMs {
		if _, ok := pl.report(vm.Name); ok {
			ac.Powered++
		}
	}
	ac.Stranded = ac.Powered - busy
	for _, spec := range pl.specs() {
		ac.Down[spec.Name] = max(0, spec.Replicas-ac.Serving[spec.Name])
	}
	return ac
}

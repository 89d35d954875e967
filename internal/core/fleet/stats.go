package fleet

// Stats summarizes the availability of one data centre at one moment. It is
// encoded as JSON under its Go field names.
type Stats struct {
	// Down is the number of declared replicas that do not serve, by declared
	// group.
	Down map[string]int
	// Serving is the number of replicas that serve, by declared group.
	Serving map[string]int
	// Stranded is the number of powered VMs that belong to no serving group.
	Stranded int
	// Whole lists the IDs of the groups that serve.
	Whole []string
	// Powered is the number of VMs that answer probes.
	Powered int
}

// Count computes the statistics of the data centre that in describes.
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

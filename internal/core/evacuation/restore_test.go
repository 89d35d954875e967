package evacuation

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// stepTime is the time of one step of restoredFleet.
	stepTime = 100 * time.Millisecond
	// maxRewrite is the number of steps within which the operators write again what a restore
	// took away, maxCopyAge the age of the oldest copy, in steps.
	maxRewrite = 19
	maxCopyAge = 50
)

// storeState is what a store holds at one time.
type storeState struct {
	revision int64
	// evacuated holds the revisions of the evacuated data centres.
	evacuated map[string]int64
	// history holds the changes by revision.
	history []storeChange
}

type storeChange struct {
	dataCenter string
	evacuated  bool
	revision   int64
}

func (ss storeState) clone() storeState {
	return storeState{ss.revision, maps.Clone(ss.evacuated), slices.Clone(ss.history)}
}

// restoredDaemon is a daemon of restoredFleet.
type restoredDaemon struct {
	tr Tracker
	// follows is set for daemons that read the store; read is how far.
	follows bool
	read    catalog.Position
	// flips counts how often this process has changed the state of each data centre.
	flips map[string]int
	last  []string
}

// restoredFleet simulates operators, daemons and a store that is restored from copies.
type restoredFleet struct {
	now     time.Time
	era     int64
	store   storeState
	copies  []storeState
	intent  map[string]bool
	flips   map[string]int
	rewrite map[string]int
	daemons []*restoredDaemon
}

// write writes the operators' intent for a data centre to the store.
func (fl *restoredFleet) write(dc string) {
	delete(fl.rewrite, dc)
	fl.store.revision++
	delete(fl.store.evacuated, dc)
	if fl.intent[dc] {
		fl.store.evacuated[dc] = fl.store.revision
	}
	fl.store.history = append(fl.store.history, storeChange{dc, fl.intent[dc], fl.store.revision})
}

// restore returns the store to a copy. What differs from the intent is written again later.
func (fl *restoredFleet) restore(age, delay int) {
	fl.era++
	fl.store = fl.copies[max(0, len(fl.copies)-1-age)].clone()
	fl.copies = fl.copies[:max(1, len(fl.copies)-age)]
	for _, dc := range dataCenters {
		if _, is := fl.store.evacuated[dc]; is != fl.intent[dc] {
			fl.rewrite[dc] = delay
		}
	}
}

// follow lets a daemon read what has changed in the store.
func (fl *restoredFleet) follow(da *restoredDaemon) {
	if da.read.Era != fl.era || da.read.Revision == 0 {
		da.read = catalog.Position{Era: fl.era, Revision: fl.store.revision}
		da.tr.ReadAll(maps.Clone(fl.store.evacuated), da.read, fl.now)
	}
	for _, ch := range fl.store.history {
		if ch.revision > da.read.Revision {
			da.read.Revision = ch.revision
			da.tr.Change(ch.dataCenter, ch.evacuated, da.read, fl.now)
		}
	}
	da.tr.Settle(fl.now)
}

// advance runs one step: due rewrites, a copy, reads and heartbeats for which happens is true.
func (fl *restoredFleet) advance(happens func() bool) {
	fl.now = fl.now.Add(stepTime)
	for _, dc := range dataCenters {
		if left, ok := fl.rewrite[dc]; ok && left == 0 {
			fl.write(dc)
		} else if ok {
			fl.rewrite[dc]--
		}
	}
	fl.copies = append(fl.copies, fl.store.clone())
	for _, da := range fl.daemons {
		if da.follows && happens() {
			fl.follow(da)
			da.count()
		}
	}
	for _, from := range fl.daemons {
		for _, to := range fl.daemons {
			if from != to && happens() {
				to.tr.Apply(from.tr.Announcement(), fl.now)
				to.count()
			}
		}
	}
}

// count records the changes of a daemon's order.
func (da *restoredDaemon) count() {
	for _, dc := range dataCenters {
		if or := da.tr.Order(); or.Has(dc) != slices.Contains(da.last, dc) {
			da.flips[dc]++
		}
	}
	da.last = da.tr.Order().DataCenters
}

// Guards against an evacuation that ends, or comes back, because the store was restored from a copy
// without the operators' last changes, and against one written after a restore that stays unknown:
// in any order of changes, restores, lost heartbeats and daemons that start anew.
func TestEvacuationsOverRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := &restoredFleet{now: time.Unix(1_000_000, 0), era: 1, store: storeState{1, map[string]int64{}, nil},
			intent: map[string]bool{}, flips: map[string]int{}, rewrite: map[string]int{}}
		for num := range 4 {
			fl.daemons = append(fl.daemons, &restoredDaemon{follows: num != 1, flips: map[string]int{}})
		}
		always := func() bool { return true }
		for range 30 {
			fl.advance(always)
		}
		happens := func() bool { return rapid.IntRange(0, 9).Draw(rt, "happens") > 2 }
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 19).Draw(rt, "event") {
			case 0:
				fl.restore(rapid.IntRange(0, maxCopyAge).Draw(rt, "age"), rapid.IntRange(0, maxRewrite).Draw(rt, "delay"))
			case 1, 2, 3:
				dc := rapid.SampledFrom(dataCenters).Draw(rt, "data centre")
				fl.intent[dc] = !fl.intent[dc]
				fl.flips[dc]++
				fl.write(dc)
			case 4:
				// The last daemon starts anew; alone it can't know what the copy lacks.
				fl.daemons[3] = &restoredDaemon{follows: true, flips: map[string]int{}}
			}
			fl.advance(happens)
			for num, da := range fl.daemons[:3] {
				for _, dc := range dataCenters {
					if da.flips[dc] > fl.flips[dc] {
						rt.Fatalf("daemon %d changed the state of %s %d times, the operators %d times", num, dc, da.flips[dc], fl.flips[dc])
					}
				}
			}
		}
		for range int(settleTime/stepTime) + maxRewrite + 2 {
			fl.advance(always)
		}
		for num, da := range fl.daemons {
			for _, dc := range dataCenters {
				if got := da.tr.Order().Has(dc); got != fl.intent[dc] {
					rt.Errorf("daemon %d: %s evacuated: %t, the operators ordered %t", num, dc, got, fl.intent[dc])
				}
			}
		}
	})
}

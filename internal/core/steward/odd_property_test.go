package steward

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
)

// oddNumbers are numbers, as JSON, that a writer of entries may get wrong.
var oddNumbers = []string{"0", "1", "2", "3", fmt.Sprint(17<<epochBits + 1), fmt.Sprint(17<<epochBits + 2), "-1", "4095", "4096", "30000000", "2305843009213693952", "4611686018427387904", "9223372036854775807", "-9223372036854775808", "1e308", "1e999"}

// drawEntry returns any entry of an engine's VM, as JSON, in which each value may be odd.
func drawEntry(rt *rapid.T) string {
	num := func(name string) string { return rapid.SampledFrom(oddNumbers).Draw(rt, name) }
	text := func(name string, from ...string) string { return rapid.SampledFrom(from).Draw(rt, name) }
	sound := func(name, value, odd string) string {
		if rapid.IntRange(0, 9).Draw(rt, name+" is odd") == 0 {
			return odd
		}
		return value
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","domain":%q,"slots":%s,"state":"ready","sequence":%s,"pace":%s,"models":[{"name":%q}],
		"staged":[%q],"group":{"name":%q,"epoch":%s,"rank":%s,"state":%q}}`, sound("service", "engine", "other"),
		sound("address", "127.0.0.1:9", "127.0.0.1:0"), text("domain", "domain-0", "domain-9", ""), sound("slots", "26", num("slots")),
		sound("sequence", "1", num("sequence")), sound("pace", "1", num("pace")), text("model", "large", "small", "unknown", ""), text("staged", "large", "unknown"),
		text("group", "", "odd", "odd-2", "spare-1", "group-17-1", "group-17-2"), num("epoch"), num("rank"), text("state", "joining", "ready", "open", "closing", "broken"))
}

// Guards, for any entries, many at once, under new IDs and under those of living VMs, and across a change of
// the steward, against memory that grows by a number in an entry, epochs that fall back or leave no room, and
// the loss of a sound group.
func TestOddEntryInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		si := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), 2, 9)
		si.runInitialLoads(8 * time.Second)
		before := si.core.Groups()
		si.core.Events()
		ids := append(si.fleet.IDs(), "odd-0", "odd-1", "odd-2", "odd-3", "z-0", "z-1")
		valid, issued := 0, make(map[groupKey]bool)
		for round := range 6 {
			for range rapid.IntRange(1, 30).Draw(rt, "entries") {
				id := rapid.SampledFrom(ids).Draw(rt, "id")
				if rapid.Bool().Draw(rt, "new") {
					id = fmt.Sprint("new-", rapid.IntRange(0, 300).Draw(rt, "number"))
				}
				ep, err := platform.DecodeEndpoint(platform.Item{Key: platform.EndpointPrefix + id, Value: []byte(drawEntry(rt)), Revision: 1})
				if err != nil {
					continue
				}
				valid++
				if own, ok := si.entries[id]; ok && own.Incarnation != 0 {
					// The server writes its own entry again with its next heartbeat.
					si.core.Register(ep, si.now)
					si.after(1200*time.Millisecond, func() { si.core.Register(own, si.now) })
					continue
				}
				si.entries[id] = ep
				si.core.Register(ep, si.now)
			}
			if round == 3 {
				si.takeOver()
			}
			for range 60 {
				si.step()
				si.checkOddInvariants(rt, issued)
			}
		}
		si.run(2 * time.Second)
		left := make(map[string]bool)
		for _, gr := range si.core.Groups() {
			left[gr.Name] = true
		}
		for _, gr := range before {
			if !left[gr.Name] {
				rt.Errorf("group %s no longer serves after %d odd entries", gr.Name, valid)
			}
		}
	})
}

// checkOddInvariants checks the bounds of the steward's state, and that the epochs of groups planned since the
// last check are in range and above those in issued, to which it adds them.
func (si *simulation) checkOddInvariants(rt *rapid.T, issued map[groupKey]bool) {
	co := si.core
	if num, most := co.memberSlots(), 8*len(co.vms); num > most || len(co.groups) > 2*len(co.vms) {
		rt.Fatalf("%d ranks in %d groups of %d VMs, want at most %d", num, len(co.groups), len(co.vms), most)
	}
	highest := int64(0)
	for ke := range issued {
		highest = max(highest, ke.epoch)
	}
	for ke, gr := range co.groups {
		if gr.planned.IsZero() || issued[ke] {
			continue
		}
		if ke.epoch <= highest || ke.epoch > catalog.MaxEpoch {
			rt.Fatalf("group %s is planned with epoch %d, want one above %d and at most %d", ke.name, ke.epoch, highest, int64(catalog.MaxEpoch))
		}
		issued[ke] = true
	}
}

package dispatch

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/internal/core/occupancy"
)

// Guards against loads that a daemon receives for another group than the one that they were sent for.
func TestWorkSurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sent := Work{Loads: GroupLoads{}, Readings: GroupReadings{}}
		for _, name := range rapid.SliceOf(rapid.StringMatching(`(group-[0-9]{1,3}-)?[0-9a-z-]{0,12}`)).Draw(rt, "names") {
			sent.Loads[name] = Load{Requests: rapid.IntRange(-5, 500).Draw(rt, "requests"),
				PrefillTokens: rapid.Int64Range(-9000, 90000).Draw(rt, "prefill"), ContextTokens: contextUnit * rapid.Int64Range(-9, 90000).Draw(rt, "context")}
			sent.Readings[name] = occupancy.Shared{Requests: rapid.IntRange(0, 500).Draw(rt, "stated"), AgeMillis: rapid.Int64Range(0, 2000).Draw(rt, "age")}
		}
		raw, err := cbor.Marshal(sent)
		if err != nil {
			rt.Fatal(err)
		}
		var got Work
		if err := cbor.Unmarshal(raw, &got); err != nil {
			rt.Fatal(err)
		}
		if diff := cmp.Diff(map[string]Load(sent.Loads), map[string]Load(got.Loads)); diff != "" {
			rt.Errorf("loads changed (-sent +got):\n%s", diff)
		}
		if diff := cmp.Diff(len(sent.Readings), len(got.Readings)); diff != "" {
			rt.Errorf("number of readings changed (-sent +got):\n%s", diff)
		}
	})
}

// Guards against heartbeats that grow with the number of groups as much as before they were packed:
// more than half of the bytes between data centres were loads of groups.
func TestEncodedWorkIsSmall(t *testing.T) {
	const groups, mostBytes = 45, 13
	loads := GroupLoads{}
	for i := range groups {
		loads[fmt.Sprintf("group-719-%d", i)] = Load{Requests: 15, PrefillTokens: 1400, ContextTokens: 16000}
	}
	raw, err := cbor.Marshal(loads)
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > groups*mostBytes {
		t.Errorf("%d groups take %d bytes, want at most %d each", groups, len(raw), mostBytes)
	}
}

// Guards against a datagram from outside that crashes a daemon or names groups by bytes that it does
// not contain.
func FuzzGroupLoads(f *testing.F) {
	for _, loads := range []GroupLoads{nil, {"group-7-1": {3, 40, 800}, "group-7-2": {Requests: 1}}} {
		raw, err := cbor.Marshal(loads)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{0x44, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x43, 0x05, 0x01, 'a'})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var loads GroupLoads
		if err := loads.UnmarshalCBOR(raw); err != nil && loads != nil {
			t.Errorf("got %v with error %v, want no loads", loads, err)
		}
	})
}

package entry

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/platform"
)

// deskEntry is a valid entry of a plain server.
const deskEntry = `{"service":"desk","address":"127.0.0.1:9","zone":"dc-0","slots":1,"state":"ready","sequence":1}`

// deskItem returns an item of the server desk-1 at a revision.
func deskItem(value string, rev int64) platform.Item {
	return platform.Item{Key: platform.EndpointPrefix + "desk-1", Value: []byte(value), Revision: rev}
}

// Guards against a server, and its group, that counts as departed because another writer overwrites its
// entry: the last valid one must count for as long as an expired entry may take to reappear, in a full
// read too, and not longer. A removed entry must count at once.
func TestOverwrittenEntry(t *testing.T) {
	const odd = `{"address":"127.0.0.1:99999"}`
	for _, full := range []bool{false, true} {
		ct, cl := newTestControl(800)
		ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.PlainTable{}
		rev := int64(1)
		read := func(value string) bool {
			rev++
			if items := []platform.Item{deskItem(value, rev)}; full {
				ct.confirmed = cl.Now()
				ct.applySnapshot(items, catalog.Position{Revision: rev}, false)
			} else {
				ct.applyChanges(items)
			}
			_, ok := ct.endpoints["desk-1"]
			return ok && len(ct.departed) == 0
		}
		if !read(deskEntry) || !read(odd) {
			t.Fatalf("full read %v: the overwritten entry counts as departed at once", full)
		}
		for range 5 {
			// Both write with each heartbeat.
			cl.Advance(returnGrace * 3 / 4)
			ct.stepMissing(cl.Now())
			if !read(deskEntry) || !read(odd) {
				t.Fatalf("full read %v: departed although the server writes its entry", full)
			}
		}
		cl.Advance(returnGrace + tick)
		ct.stepMissing(cl.Now())
		if _, ok := ct.endpoints["desk-1"]; ok || len(ct.departed) == 0 {
			t.Errorf("full read %v: still used %v after the last valid entry", full, returnGrace+tick)
		}
		if !read(deskEntry) {
			t.Errorf("full read %v: a valid entry doesn't bring the server back", full)
		}
		removed := deskItem("", rev+1)
		removed.Deleted = true
		read(odd)
		ct.applyChanges([]platform.Item{removed})
		if _, ok := ct.endpoints["desk-1"]; ok {
			t.Errorf("full read %v: still used after its entry was removed", full)
		}
	}
}

// Guards against a departure that a daemon announces when it begins to follow the store and finds the
// entry of a server in the steward's view overwritten.
func TestOverwrittenEntryInFirstRead(t *testing.T) {
	ct, cl := newTestControl(800)
	cl.Advance(time.Minute)
	ct.confirmed = cl.Now()
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.PlainTable{}
	ct.stewardView = &catalog.View{Term: 7, Plain: []catalog.PlainEndpoint{{ID: "desk-1", Service: "desk"}}}
	ct.applySnapshot([]platform.Item{deskItem("{", 3)}, catalog.Position{Revision: 3}, false)
	if len(ct.departed) != 0 {
		t.Fatal("announced as departed at once")
	}
	cl.Advance(returnGrace + tick)
	ct.stepMissing(cl.Now())
	if len(ct.departed) != 1 {
		t.Error("not announced as departed although no valid entry came")
	}
}

// Guards against a removal that doesn't count at once because the removed entry had been overwritten before
// this daemon began to follow the store, and against one that is older than the steward's view.
func TestRemovedAfterOverwritten(t *testing.T) {
	for _, viewed := range []int64{2, 9} {
		ct, cl := newTestControl(800)
		cl.Advance(time.Minute)
		ct.confirmed = cl.Now()
		ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.PlainTable{}
		ct.stewardView = &catalog.View{Term: 7, Revision: 2, Plain: []catalog.PlainEndpoint{{ID: "desk-1", Service: "desk"}}}
		ct.applySnapshot([]platform.Item{deskItem("{", 3)}, catalog.Position{Revision: 3}, false)
		ct.stewardView.Revision = viewed
		removed := deskItem("", 4)
		removed.Deleted = true
		ct.applyChanges([]platform.Item{removed})
		if got, want := len(ct.departed) == 1, viewed < 4; got != want {
			t.Errorf("view of revision %d, removed in 4: departed %t, want %t", viewed, got, want)
		}
	}
}

// Guards against a log that holds whole entries: a number of a million digits, a text of a million bytes
// and a long key, all written repeatedly.
func TestLogOfOddEntries(t *testing.T) {
	ct, _ := newTestControl(800)
	log := &logBuffer{}
	ct.da.Log = slog.New(slog.NewTextHandler(testWriter{t, log}, nil))
	long := strings.Repeat("9", 1_000_000)
	for i, value := range []string{`{"slots":` + long + `}`, `{"slots":"` + long + `"}`, `{"service":{"` + long + `":1}}`} {
		for range 3 {
			ct.decode(platform.Item{Key: fmt.Sprint(platform.EndpointPrefix, long[:1000], i), Value: []byte(value)})
		}
	}
	if lines := strings.Count(log.String(), "\n"); lines != 3 || len(log.String()) > 3*1000 {
		t.Errorf("%d lines, %d bytes, want 3 lines of at most 1000 bytes", lines, len(log.String()))
	}
}

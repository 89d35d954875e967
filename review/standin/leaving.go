//go:build review

package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	// drain and contact are drain_ms and contact_ms.
	drain   = 2 * time.Second
	contact = 3 * time.Second
	cutTime = 4 * time.Second
	// leaveDelay is the time from the partition until a server leaves, exitDelay from then until it exits.
	leaveDelay  = 200 * time.Millisecond
	exitDelay   = drain + 600*time.Millisecond
	observeTime = 6 * time.Second
	// maxNoted bounds the requests named in the record.
	maxNoted = 10
	// stewardKey is the key in the store that the daemon which acts as the steward holds.
	stewardKey = "corianderhub/steward"
)

// leaving cuts the steward off from the store and removes the entry of a server shortly after. It checks
// that the other daemons send that server nothing later than drain after that.
func (ru *run) leaving(ctx context.Context) int {
	time.Sleep(contact)
	// The first partition shows nothing yet: it makes the other daemons read the servers' entries.
	if ru.cutSteward() < 0 {
		return notRun
	}
	time.Sleep(cutTime + 2*contact)
	cut := ru.cutSteward()
	if cut < 0 {
		return notRun
	}
	sending, stop := context.WithTimeout(ctx, observeTime)
	defer stop()
	wg := ru.clients(sending, cut)
	time.Sleep(leaveDelay)
	// The last server: the answers of the first one may have no length.
	leaver := numServers - 1
	ru.platform.Deregister(serverID(leaver))
	gone := time.Now()
	ru.note("%s leaves: its entry is removed, and the store has acknowledged it", serverID(leaver))
	time.Sleep(exitDelay)
	_ = ru.servers[leaver].Process.Kill()
	ru.note("%s exits, %v after that", serverID(leaver), exitDelay)
	wg.Wait()
	return ru.late(serverID(leaver), gone)
}

// steward returns the daemon that acts as the steward, or -1.
func (ru *run) steward() int {
	raw, ok := ru.platform.Store.Value(stewardKey)
	var holder struct {
		IP string `json:"ip"`
	}
	if !ok || json.Unmarshal(raw, &holder) != nil {
		return -1
	}
	for num := range numDaemons {
		if ru.ip(num) == holder.IP {
			return num
		}
	}
	return -1
}

// cutSteward cuts the steward off from the store for cutTime and returns it.
func (ru *run) cutSteward() int {
	num := ru.steward()
	if num < 0 || !ru.trouble {
		ru.note("no partition; daemon %d is the steward", num)
		return num
	}
	ru.note("daemon %d, the steward, is cut off from the store for %v", num, cutTime)
	ru.proxies[num].cut.Store(true)
	time.AfterFunc(cutTime, func() {
		ru.proxies[num].heal()
		ru.note("daemon %d reaches the store again", num)
	})
	return num
}

// late writes what was sent and run, and returns the exit code.
func (ru *run) late(server string, gone time.Time) int {
	ru.note("sent %d requests to the daemons that were not cut off; answers: %v", ru.sent, ru.statuses)
	late, lost, last := 0, 0, time.Duration(0)
	for _, ar := range ru.arrivals {
		after := ar.at.Sub(gone)
		if ar.server != server || after <= 0 {
			continue
		}
		last = max(last, after)
		if after <= drain {
			continue
		}
		late++
		an := ru.answers[ar.id]
		if an.status != http.StatusOK {
			lost++
		}
		if late <= maxNoted || an.status != http.StatusOK {
			ru.note("%s runs %s%s %d ms after its leaving was acknowledged; its client gets %d", server, an.path, ar.id, after.Milliseconds(), an.status)
		}
	}
	ru.note("last request reached %s %d ms after its leaving was acknowledged; later than %v: %d, of which without success: %d", server, last.Milliseconds(), drain, late, lost)
	if late > 0 {
		return broken
	}
	return held
}

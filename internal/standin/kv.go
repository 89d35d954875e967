package standin

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"corianderhub.dev/corianderhub/internal/platform"
	wire "corianderhub.dev/corianderhub/platform"
)

// The store's calls over HTTP, as the platform's pages have them. Of transactions
// only those of one key are known, which is all that the own interface makes.

// failed answers for a call that failed and tells whether it did.
func failed(w http.ResponseWriter, err error) bool {
	switch {
	case err == nil:
		return false
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, "conflict", http.StatusPreconditionFailed)
	case errors.Is(err, platform.ErrUnknown):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
	return true
}

func itemOf(en platform.Entry) wire.Item {
	return wire.Item{Key: en.Key, Value: en.Value, Revision: int64(en.Revision)}
}

func (pl *Platform) get(w http.ResponseWriter, req *http.Request) {
	en, err := pl.Store.Get(req.Context(), req.FormValue("key"))
	if failed(w, err) {
		return
	}
	if en.Revision == 0 {
		http.NotFound(w, req)
		return
	}
	writeJSON(w, http.StatusOK, itemOf(en))
}

func (pl *Platform) list(w http.ResponseWriter, req *http.Request) {
	entries, err := pl.Store.List(req.Context(), req.FormValue("prefix"))
	if failed(w, err) {
		return
	}
	items := make([]wire.Item, len(entries))
	for i, en := range entries {
		items[i] = itemOf(en)
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false})
}

func (pl *Platform) watch(w http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseUint(req.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(req.FormValue("wait_ms"))
	if err != nil {
		http.Error(w, "wait_ms: "+err.Error(), http.StatusBadRequest)
		return
	}
	if !failed(w, pl.Store.Watch(req.Context(), req.FormValue("prefix"), after, time.Duration(ms)*time.Millisecond)) {
		writeJSON(w, http.StatusOK, map[string]any{"events": []wire.Item{}})
	}
}

func (pl *Platform) txn(w http.ResponseWriter, req *http.Request) {
	var body struct {
		Expected []wire.Condition `json:"expected"`
		Puts     []wire.Put       `json:"puts"`
		Deletes  []string         `json:"deletes"`
	}
	if !readJSON(w, req, &body) {
		return
	}
	switch {
	case len(body.Expected) == 1 && len(body.Puts) == 1 && len(body.Deletes) == 0:
		pu, lease := body.Puts[0], ""
		if pu.Lease != 0 {
			lease = strconv.FormatInt(pu.Lease, 10)
		}
		rev, err := pl.Store.Put(req.Context(), pu.Key, pu.Value, uint64(body.Expected[0].Revision), lease)
		if !failed(w, err) {
			writeJSON(w, http.StatusOK, map[string]uint64{"revision": rev})
		}
	case len(body.Expected) == 1 && len(body.Puts) == 0 && len(body.Deletes) == 1:
		if !failed(w, pl.Store.Delete(req.Context(), body.Deletes[0], uint64(body.Expected[0].Revision))) {
			writeJSON(w, http.StatusOK, map[string]uint64{"revision": 0})
		}
	default:
		http.Error(w, "a transaction of one key is known only", http.StatusBadRequest)
	}
}

func (pl *Platform) grant(w http.ResponseWriter, req *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !readJSON(w, req, &body) {
		return
	}
	id, err := pl.Store.Grant(req.Context(), time.Duration(body.TTL)*time.Millisecond)
	if failed(w, err) {
		return
	}
	num, err := strconv.ParseInt(id, 10, 64)
	if !failed(w, err) {
		writeJSON(w, http.StatusOK, map[string]int64{"lease": num, "ttl_ms": body.TTL})
	}
}

func (pl *Platform) renew(w http.ResponseWriter, req *http.Request) {
	err := pl.Store.Renew(req.Context(), req.PathValue("id"))
	if errors.Is(err, platform.ErrConflict) {
		http.NotFound(w, req)
		return
	}
	if !failed(w, err) {
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (pl *Platform) revoke(w http.ResponseWriter, req *http.Request) {
	if !failed(w, pl.Store.Revoke(req.Context(), req.PathValue("id"))) {
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

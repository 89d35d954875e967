package mesh

import (
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// oddGroups are groups that no daemon publishes.
var oddGroups = []catalog.Group{
	{Name: "no members"}, {Name: "many", Members: make([]catalog.Member, catalog.MaxGroupSize+1)},
	{Name: "epoch", Epoch: math.MaxInt64, Members: make([]catalog.Member, 1)}, {Name: "pace", Slowness: math.NaN(), Members: make([]catalog.Member, 1)},
}

// Guards against a daemon that ends, or that goes back to the first terms, because of a heartbeat: a
// group without members, and numbers that overflow when counted on.
func TestOddHeartbeats(t *testing.T) {
	odd := []Heartbeat{{Term: math.MaxInt64}, {AckTerm: math.MaxInt64}, {Term: -1}, {StateAge: math.MinInt64}, {StateAge: -time.Minute},
		{PromiseDuration: math.MaxInt64}, {ConfigVersion: math.MaxInt64}, {Change: &catalog.Change{Sequence: math.MaxInt64}}, {MilliCPU: -1}}
	for _, gr := range oddGroups {
		odd = append(odd, Heartbeat{Change: &catalog.Change{Groups: []catalog.Group{gr}}})
	}
	for i, be := range odd {
		raw, err := encode(be)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode(raw); err == nil {
			t.Errorf("heartbeat %d is accepted", i)
		}
	}
}

// Guards against a daemon that ends because of a view that it fetches, and against any number of
// addresses from one daemon.
func TestOddResponses(t *testing.T) {
	bodies := []string{`{"term":1,"groups":[{"name":"g"}]}`, `{"term":9223372036854775807}`, `{"term":1,"sequence":-1}`,
		`{"term":1,"groups":[{"name":"g","epoch":9223372036854775807,"members":[{}]}]}`, `{"term":1,"plain":[{"slots":-1}]}`}
	var body string
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer hs.Close()
	at := netip.MustParseAddrPort(hs.Listener.Addr().String())
	cl := NewClient(int(at.Port()))
	for _, body = range bodies {
		if vi, err := cl.View(t.Context(), at.Addr().String()); err == nil {
			t.Errorf("%s: accepted as %+v", body, vi)
		}
	}
	body = "[\"10.0.0.1\""
	for range maxDaemons {
		body += ",\"\""
	}
	body += "]"
	if ips, err := cl.Daemons(t.Context(), at.Addr().String()); err == nil {
		t.Errorf("%d addresses are accepted", len(ips))
	}
}

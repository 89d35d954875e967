package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// silenceSeed determines which servers fall silent, for how long, and what callers send.
	silenceSeed = 1
	// minSilence and maxSilence bound how long a server is silent.
	minSilence, maxSilence = 300 * time.Millisecond, 1200 * time.Millisecond
	// silencePhase is how long servers fall silent in one way, again and again.
	silencePhase = 8 * time.Second
	// shareInterval is the time between two changes of the models' shares.
	shareInterval = 2 * time.Second
	// largeShare is the greater share. Requests for that model have hotPrompt tokens, others coldPrompt.
	largeShare            = 0.8
	hotPrompt, coldPrompt = 25000, 100
	// silenceCallers is the number of callers of each daemon.
	silenceCallers = 6
	// longEvents is the number of events of a stream that lasts for 0.8 s.
	longEvents = 40
)

// silences chooses the servers that fall silent together. Groups leave the view only among enough
// servers.
var silences = []struct {
	name    string
	servers int
	leave   bool
	ids     func(sk *stack, rnd *rand.Rand) []string
}{
	{"a member of one of few groups", 6, false, func(sk *stack, rnd *rand.Rand) []string {
		ids := sk.de.IDs("engine")
		return []string{ids[rnd.IntN(len(ids))]}
	}},
	{"a member of a draining group", 9, true, func(sk *stack, rnd *rand.Rand) []string {
		for until := time.Now().Add(maxSilence); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			for _, gr := range sk.daemons[0].da.view.Load().Groups {
				if gr.Draining {
					return []string{gr.Members[rnd.IntN(len(gr.Members))].ID}
				}
			}
		}
		return nil
	}},
	{"a domain", 9, true, func(sk *stack, rnd *rand.Rand) []string {
		return sk.de.Fleet.InDomain(fmt.Sprint("domain-", 1+rnd.IntN(sk.de.Domains)))
	}},
	{"several", 9, true, func(sk *stack, rnd *rand.Rand) []string {
		ids := append(sk.de.IDs("engine"), sk.de.IDs("desk")...)
		rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		return ids[:2+rnd.IntN(len(ids)-2)]
	}},
}

// Guards against accepted requests that end without an answer because sound servers are silent for a
// second and go on, while changes of the configuration make groups leave the view.
func TestSilentServersBesideConfigurations(t *testing.T) {
	for num, si := range silences {
		t.Run(si.name, func(t *testing.T) {
			sk := newStackOf(t, 3, nil, &emulator.Deployment{ModelServers: si.servers, PlainServers: 2, Domains: 2, EventInterval: 20 * time.Millisecond})
			ctx, stop := context.WithTimeout(sk.ctx, silencePhase)
			defer stop()
			var wg sync.WaitGroup
			var hot atomic.Value
			hot.Store(emulator.ModelLarge)
			for i := range silenceCallers * len(sk.daemons) {
				rnd := rand.New(rand.NewPCG(silenceSeed, uint64(100*num+i)))
				wg.Go(func() { sk.call(ctx, rnd, sk.daemons[i%len(sk.daemons)], fmt.Sprint("caller-", i), &hot) })
			}
			wg.Go(func() { sk.changeShares(ctx, &hot) })
			rnd := rand.New(rand.NewPCG(silenceSeed, uint64(num)))
			sk.until("streams run", func() bool { return sk.streams() >= len(sk.daemons) })
			for ctx.Err() == nil {
				dur := minSilence + time.Duration(rnd.Int64N(int64(maxSilence-minSilence)))
				ids := si.ids(sk, rnd)
				t.Logf("%v are silent for %v", ids, dur)
				sk.de.Silence(dur, ids...)
				time.Sleep(dur + time.Duration(rnd.Int64N(int64(minSilence))))
			}
			wg.Wait()
			sk.checkInvariants()
			if si.leave && !strings.Contains(sk.log.String(), "group-rebalanced") {
				t.Error("no group has left the view")
			}
		})
	}
}

// changeShares changes the models' shares of the work until ctx ends, in the configuration and in what
// callers send. hot is the model with the greater share.
func (sk *stack) changeShares(ctx context.Context, hot *atomic.Value) {
	models := []string{emulator.ModelLarge, emulator.ModelSmall}
	for num := 0; ctx.Err() == nil; num++ {
		sk.de.SetShare(models[num%2], largeShare)
		sk.de.SetShare(models[1-num%2], 1-largeShare)
		hot.Store(models[num%2])
		sk.de.Configure(nil)
		select {
		case <-ctx.Done():
		case <-time.After(shareInterval):
		}
	}
}

// refusals are what a caller gets that knows that its request has not run.
var refusals = []string{"status 429", "status 503"}

// call sends requests to a daemon, one after the other, until ctx ends. Each must be answered
// completely or refused.
func (sk *stack) call(ctx context.Context, rnd *rand.Rand, ru *testDaemon, caller string, hot *atomic.Value) {
	for num := 0; ctx.Err() == nil; num++ {
		id := fmt.Sprint(caller, "-", num)
		path := []string{"/draft/", "/draft/", "/draft/", "/slot/", "/confirm/"}[rnd.IntN(5)]
		model, prompt := []string{emulator.ModelLarge, emulator.ModelSmall}[rnd.IntN(2)], coldPrompt
		if model == hot.Load() {
			prompt = hotPrompt
		}
		want := emulator.Body(id)
		if path == "/draft/" {
			want = longStream(id)
		}
		begin := time.Now()
		got := sk.sendRequest(ru, path, id, func(req *http.Request) {
			if path == "/draft/" {
				req.Header.Set(platform.HeaderModel, model)
				req.Header.Set(platform.HeaderTokens, fmt.Sprint(prompt, ",", longEvents*7))
			}
		})
		if got != want && !slices.Contains(refusals, got) {
			sk.t.Errorf("%s%s at %s, %s, after %v: got %q", path, id, ru.da.Settings.Name, model, time.Since(begin).Round(time.Millisecond), got)
		}
		if runs := sk.de.Runs(id); path == "/confirm/" && runs > 1 {
			sk.t.Errorf("%s ran %d times, want once", id, runs)
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(100 * time.Millisecond))))
	}
}

// longStream returns the body of a complete stream of longEvents events.
func longStream(id string) string {
	var all strings.Builder
	for num := 1; num <= longEvents; num++ {
		all.WriteString(emulator.Event(id, num))
	}
	return all.String()
}

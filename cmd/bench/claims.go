package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/platform/claims"
	"corianderhub.dev/corianderhub/internal/standin"
)

// claimSeconds is how long bookings arrive at each rate.
const claimSeconds = 4

// benchClaims measures the platform's reads and writes per second, and the mean time to
// acquire a claim, for several rates of bookings. Each booking acquires a claim and
// records an outcome.
func benchClaims(context.Context) error {
	for _, rate := range []int{50, 500, 2000} {
		st := standin.NewStore(clock.System{})
		rg := &claims.Registry{Store: st, Clock: clock.System{}, Owner: func(int) string { return "" }}
		var mu sync.Mutex
		var totalWait time.Duration
		var wg sync.WaitGroup
		begin := time.Now()
		for i := range rate * claimSeconds {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
				ck := claim.NewKey("w", fmt.Sprint(rate, "/", i))
				op := claim.Op{Kind: claim.Acquire, Shard: ck.Shard, Hash: ck.Hash, Holder: "h", Fingerprint: "p"}
				start := time.Now()
				rg.Do(context.Background(), op)
				mu.Lock()
				totalWait += time.Since(start)
				mu.Unlock()
				op.Kind, op.Outcome = claim.Record, &claim.Outcome{Status: 200, Body: []byte(`{"booked":true}`)}
				rg.Do(context.Background(), op)
			})
		}
		wg.Wait()
		sec := time.Since(begin).Seconds()
		printRow(fmt.Sprintf("claims.writes bookings/s=%d", rate), float64(st.Calls()["put"])/sec, "platform writes/s")
		printRow(fmt.Sprintf("claims.reads bookings/s=%d", rate), float64(st.Calls()["get"]+st.Calls()["list"])/sec, "platform reads/s")
		printRow(fmt.Sprintf("claims.wait bookings/s=%d", rate), totalWait.Seconds()*1000/float64(rate*claimSeconds), "ms mean")
	}
	return nil
}

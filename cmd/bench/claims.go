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

const claimSeconds = 4

// benchClaims measures the platform's writes against bookings a second. Each
// booking is a claim and an outcome.
func benchClaims(context.Context) error {
	for _, rate := range []int{50, 500, 2000} {
		st := standin.NewStore(clock.System{})
		bo := &claims.Registry{Store: st, Clock: clock.System{}, Owner: func(int) string { return "" }}
		var mu sync.Mutex
		var waits time.Duration
		var wg sync.WaitGroup
		begin := time.Now()
		for i := range rate * claimSeconds {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
				ck := claim.NewKey("w", fmt.Sprint(rate, "/", i))
				op := claim.Op{Kind: claim.Acquire, Shard: ck.Shard, Hash: ck.Hash, Holder: "h", Fingerprint: "p"}
				asked := time.Now()
				bo.Do(context.Background(), op)
				mu.Lock()
				waits += time.Since(asked)
				mu.Unlock()
				op.Kind, op.Outcome = claim.Record, &claim.Outcome{Status: 200, Body: []byte(`{"booked":true}`)}
				bo.Do(context.Background(), op)
			})
		}
		wg.Wait()
		sec := time.Since(begin).Seconds()
		row(fmt.Sprintf("claims.writes bookings/s=%d", rate), float64(st.Calls()["put"])/sec, "platform writes/s")
		row(fmt.Sprintf("claims.reads bookings/s=%d", rate), float64(st.Calls()["get"]+st.Calls()["list"])/sec, "platform reads/s")
		row(fmt.Sprintf("claims.wait bookings/s=%d", rate), waits.Seconds()*1000/float64(rate*claimSeconds), "ms mean")
	}
	return nil
}

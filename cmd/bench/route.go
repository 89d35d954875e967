package main

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/route"
)

// benchRoute measures one routing decision against the number of groups.
func benchRoute(context.Context) error {
	for _, num := range []int{10, 62, 250, 750} {
		ro := route.New(route.TokenAffinity{})
		var tas []route.Target
		for i := range num {
			tas = append(tas, route.Target{ID: fmt.Sprint("g", i), Capacity: 400000, Local: true, Reported: int64(i), ReportedAt: time.Unix(1, 0)})
		}
		ro.Update(tas)
		rq := route.Request{Prefixes: route.Prefixes(nil, "m", strings.Repeat("p", 4096)), PromptTokens: 1024}
		ro.Remember(rq, ro.Groups()[num/2])
		res := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ro.Pick(rq)
			}
		})
		row(fmt.Sprintf("route.pick groups=%d", num), float64(res.NsPerOp()), "ns")
		row(fmt.Sprintf("route.pick.allocations groups=%d", num), float64(res.AllocsPerOp()), "allocs")
	}
	return nil
}

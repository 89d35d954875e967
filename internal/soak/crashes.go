package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/internal/httphead"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// replacementDelay is the time until a new server replaces one that crashed under a request.
	replacementDelay = 2 * time.Second
	// crashingInterval is the mean time between two requests that crash servers. There are at
	// least minCrashing of them.
	crashingInterval = 200 * time.Millisecond
	minCrashing      = 25
	// maxCrashes is the number of crashes under one part, or one request, after which it may reach
	// servers maxLaterRuns times more; those within crashContactTime of the last one don't count.
	maxCrashes, maxLaterRuns = 5, 3
	crashContactTime         = 3 * time.Second
)

const (
	crashesName  = "requests crash servers"
	unframedName = "responses without framing"
)

// crashes are the faults that a run draws besides if Soak.Crashes is set.
var crashes = []fault{
	{crashesName, false, 4, crashServers},
	{unframedName, false, 2, sendUnframed},
}

// crashServers sends requests that crash servers to all daemons: different ones that share a part
// of their prompts, or the same one again and again.
func crashServers(so *Soak, rnd *rand.Rand, dur time.Duration) {
	part := fmt.Sprintf("dead%08x", rnd.Uint32())
	so.deployment.CrashOnPart(part)
	repeated := rnd.IntN(2) == 0
	until := time.Now().Add(dur)
	for num := 0; num < minCrashing || time.Now().Before(until); num++ {
		body := part
		if !repeated {
			body = fmt.Sprint(part, "-", num)
		}
		go so.sendCrashing(pick(rnd, so.daemons), part, body, num)
		so.sleep(time.Duration(rnd.ExpFloat64() * float64(crashingInterval)))
		if so.ctx.Err() != nil {
			return
		}
	}
	so.check.CheckCrashes(part, so.deployment.RunsWithPart(part))
}

// sendCrashing sends one request whose prompt has the part and reads the response.
func (so *Soak) sendCrashing(ps *process, part, body string, num int) {
	ctx, cancel := context.WithTimeout(so.ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ps.ip+":18080/draft/x", io.MultiReader(strings.NewReader(body)))
	if err != nil {
		so.check.ReportViolation("client: %v", err)
		return
	}
	req.Close = true
	req.Host = emulator.Host
	req.Header.Set(platform.HeaderRequestID, fmt.Sprint(part, "-", num))
	req.Header.Set(platform.HeaderAuthorization, "Token "+emulator.APIKey)
	req.Header.Set(platform.HeaderModel, emulator.ModelLarge)
	req.Header.Set(platform.HeaderTokens, fmt.Sprint("100,", draftEvents*7))
	req.Header.Set(platform.HeaderPrefix, fmt.Sprintf("5c1e07a2:40,%s:40,%x:20", part, num))
	rsp, err := httphead.Do(http.DefaultClient, req)
	if err != nil {
		return // The daemon may be killed, or may break the stream off.
	}
	defer rsp.Body.Close()
	_, _ = io.Copy(io.Discard, rsp.Body)
}

// CheckCrashes checks how often servers ran requests with a part that crashes them. Runs beyond the
// bounds are excused if another unplanned fault had an effect since the first one.
func (ch *Checker) CheckCrashes(part string, runs []time.Time) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if len(runs) <= maxCrashes || !ch.faultFree(runs[0], time.Now(), crashesName, unframedName) {
		return
	}
	later := 0
	for _, at := range runs {
		if at.Sub(runs[maxCrashes-1].Add(eventInterval)) > crashContactTime {
			later++
		}
	}
	if later > maxLaterRuns {
		ch.reportViolation("requests with part %s, which crashes servers, ran %d times more than %v after the fifth crash, want %d at most", part, later, crashContactTime, maxLaterRuns)
	}
}

// sendUnframed makes all servers send responses with neither a length nor chunks for dur.
func sendUnframed(so *Soak, _ *rand.Rand, dur time.Duration) {
	so.deployment.SetUnframed(true)
	so.sleep(dur)
	so.deployment.SetUnframed(false)
}

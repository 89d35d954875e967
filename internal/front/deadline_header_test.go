package front

import (
	"net/http"
	"sync"
	"testing"

	"corianderhub.dev/corianderhub/platform"
)

// Guards against a connection that is closed without an answer because its caller's deadline is past, no
// number, or beyond a time.Duration.
func TestOddDeadlineIsAnswered(t *testing.T) {
	const callers, each = 16, 100
	ri := newRig(t)
	ri.addGroup(nil)
	cl := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(deadline string) error {
		req, err := http.NewRequest(http.MethodGet, ri.hs.URL+"/draft/x", nil)
		if err != nil {
			return err
		}
		req.Host = "some.example"
		req.Header = http.Header{platform.HeaderRequestID: {"id"}, platform.HeaderAuthorization: {"Token key-1"}, platform.HeaderModel: {"large"},
			platform.HeaderTokens: {"100,70"}, http.CanonicalHeaderKey(platform.HeaderDeadline): {deadline}}
		rsp, err := cl.Do(req)
		if err == nil {
			rsp.Body.Close()
		}
		return err
	}
	for _, deadline := range []string{"0", "-5", "NaN", "-Inf", "0.0001", "1e308"} {
		t.Run(deadline, func(t *testing.T) {
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for range each {
						if err := ask(deadline); err != nil {
							t.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
		})
	}
}

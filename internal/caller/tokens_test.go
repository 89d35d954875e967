package caller

import (
	"math"
	"testing"

	"corianderhub.dev/corianderhub/internal/core/route"
)

// Guards against a response limit so large that the estimate overflows and a full queue admits the request.
func TestEstimateOfHugeLimit(t *testing.T) {
	co := &completion{maxTokens: math.MaxInt, routing: route.Request{PromptTokens: math.MaxInt64}}
	if got := co.estimatedTokens(); got < maxCountedTokens {
		t.Errorf("got %d tokens, want at least %d", got, int64(maxCountedTokens))
	}
}

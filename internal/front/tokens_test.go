package front

import "testing"

// Guards against a number of tokens for which the prediction overflows, so that a request that no group can
// serve is sent.
func TestPromptTokens(t *testing.T) {
	for counts, want := range map[string]int64{"1460,80": 1460, " 7 ": 7, "": 0, "-1,2": 0, "x": 0, "9223372036854775807,1": maxPromptTokens} {
		if got := promptTokens(counts); got != want {
			t.Errorf("promptTokens(%q) = %d, want %d", counts, got, want)
		}
	}
}

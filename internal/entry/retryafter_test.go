package entry

import (
	"testing"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against a Retry-After that is applied only by the daemon that received it, in a
// large deployment, where notices are relayed by the steward, or after a daemon has just
// started.
func TestRetryAfterAmongManyDaemons(t *testing.T) {
	sk := newLargeStack(t)
	sk.untilAllRestrict(sk.de.IDs("desk")[0], emulator.Backpressure{Sheds: true, RetryAfter: "60"})
}

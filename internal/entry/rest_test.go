package entry

import (
	"testing"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against a rest that only the daemon knows which was turned away, where daemons are many
// and tell the steward alone, or where one has just started.
func TestRestAmongManyDaemons(t *testing.T) {
	sk := newCrowd(t)
	sk.untilAllLeaveItToFew(sk.de.IDs("desk")[0], emulator.Backpressure{Sheds: true, RetryAfter: "60"})
}

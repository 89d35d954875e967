package entry

import "time"

// logUnreached logs when endpoints begin or cease to be unreachable from this daemon. Together
// with the steward's events it tells whether endpoints are down or a daemon is cut off.
func (ct *control) logUnreached(now time.Time) {
	num := ct.da.dialer.Paths.Unreached(now)
	switch {
	case num > 0 && num != ct.unreached:
		ct.da.Log.Info("control: endpoints not reached.", "count", num, "before", ct.unreached)
	case num == 0 && ct.unreached > 0:
		ct.da.Log.Info("control: endpoints reached again.", "before", ct.unreached)
	}
	ct.unreached = num
}

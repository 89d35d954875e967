// Package occupancy corrects estimates of the number of requests at a server by the numbers that
// the server states in its responses. It performs no I/O, and the current time is passed in by the
// caller. Its types are not safe for concurrent use.
package occupancy

import "time"

// Reading is the number of requests at a server at one moment, as the server states it.
type Reading struct {
	// Running is the number of requests in slots, Waiting that of requests without one.
	Running, Waiting int
	// Slots is the number of requests that the server runs at once.
	Slots int
}

// Requests returns the number of requests at the server.
func (re Reading) Requests() int { return re.Running + re.Waiting }

// MaxAge is the age at which a reading is discarded, the same as for reports of other daemons.
const MaxAge = 2 * time.Second

// Shared is a reading as daemons send it to each other, many times a second, hence the compact
// encoding as an array. Its length cannot change: daemons of another version would drop the heartbeat.
type Shared struct {
	_ struct{} `cbor:",toarray"`
	// Requests is the number of running and waiting requests.
	Requests int
	// AgeMillis is the age of the reading in milliseconds when it was sent.
	AgeMillis int64
}

// Share returns the reading of that many requests as of a moment, as it is sent at now.
func Share(requests int, asOf, now time.Time) Shared {
	return Shared{Requests: requests, AgeMillis: now.Sub(asOf).Milliseconds()}
}

// AsOf returns the moment of a reading that was received at now. It returns false if the reading is
// invalid or older than MaxAge.
func (sh Shared) AsOf(now time.Time) (time.Time, bool) {
	if sh.Requests < 0 || sh.AgeMillis < 0 || sh.AgeMillis > MaxAge.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(sh.AgeMillis) * time.Millisecond), true
}

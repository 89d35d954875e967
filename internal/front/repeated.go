package front

import "errors"

// maxRepeated bounds the events of an attempt whose ID is not above the one before. The caller does not
// get them, so that a stream of them would look alive without end.
const maxRepeated = 100

// errRepeated means that a group repeats events without end.
var errRepeated = errors.New("front: stream repeats its events")

// repetition counts the repeated events of an attempt.
type repetition struct {
	lastID   int64
	began    bool
	repeated int
}

// check returns an error if an event is one too many that was repeated.
func (re *repetition) check(event []byte) error {
	id, ok := eventID(event)
	if !ok {
		return nil
	}
	if re.began && id <= re.lastID {
		re.repeated++
	}
	re.began, re.lastID = true, id
	if re.repeated > maxRepeated {
		return errRepeated
	}
	return nil
}

package front

import (
	"errors"
	"io"
	"net/http"
	"time"

	"corianderhub.dev/corianderhub/internal/stop"
)

// relay forwards the events of an attempt as they arrive, beginning with its first result, and those of
// the attempts that continue the stream. It returns the last attempt, and nil at the end of a complete
// stream.
func (st *stream) relay(at *attempt, event []byte, err error) (*attempt, error) {
	for ; err == nil; at, event, err = at.next() {
		now := st.sv.Clock.Now()
		at.ticket.Event(now)
		if !at.emitted {
			predictionErrors.Update((now.Sub(at.sent) - at.choice.FirstEvent).Abs().Seconds())
		}
		err := at.check(event)
		if err == nil {
			err = st.writeEvent(at.ex.Response.Header, event, now)
		}
		if err != nil {
			at.recordFailure(err)
			return at, err
		}
		at.forwarded()
	}
	if err != io.EOF {
		return at, err
	}
	// http.Server writes the end of the response. The deadline of the last event may have passed.
	st.limitWrite()
	return at, st.writeHeader(at.ex.Response.Header)
}

// writeEvent forwards one event, unless the caller already has it.
func (st *stream) writeEvent(header http.Header, event []byte, now time.Time) error {
	id, ok := eventID(event)
	if ok && st.hasID && id <= st.lastID {
		return nil
	}
	if err := st.writeHeader(header); err != nil {
		return err
	}
	if st.numEvents == 0 {
		st.firstEvent = now.Sub(st.arrived)
		firstEventTimes.Update(st.firstEvent.Seconds())
	} else {
		st.maxPause = max(st.maxPause, now.Sub(st.lastAt))
		eventPauses.Update(now.Sub(st.lastAt).Seconds())
	}
	st.limitWrite()
	if _, err := st.w.Write(event); err != nil {
		return errCallerGone
	}
	if err := http.NewResponseController(st.w).Flush(); err != nil {
		return errCallerGone
	}
	st.numEvents++
	st.lastAt = now
	if ok {
		st.lastID, st.hasID = id, true
	}
	return nil
}

// limitWrite bounds the next write to the caller.
func (st *stream) limitWrite() {
	_ = http.NewResponseController(st.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

var errCallerGone = errors.New("front: caller disconnected")

// writeHeader sends the header of the first group's response, once.
func (st *stream) writeHeader(header http.Header) error {
	if st.started {
		return nil
	}
	if !st.stop.BeginResponse() {
		return stop.ErrStopping
	}
	st.closeIfStopping()
	st.started = true
	connection := st.w.Header().Get("Connection")
	copyHeaders(st.w.Header(), header)
	if connection != "" {
		st.w.Header().Set("Connection", connection)
	}
	st.w.WriteHeader(http.StatusOK)
	return nil
}

func (st *stream) finish(sent time.Time) {
	st.recordDuration()
	st.reportCompletion(sent)
	st.sv.Table.RecordAnswer(st.choice.Group, st.numEvents, st.sv.Clock.Now())
	st.log.Info("front: answered.", "outcome", "whole", "status", http.StatusOK, "sends", st.sends, "events", st.numEvents,
		"group", st.choice.Group.Name, "first-ms", st.firstEvent.Milliseconds(), "predicted-ms", st.choice.FirstEvent.Milliseconds(),
		"fits", st.choice.MeetsObjective, "running", int(st.choice.Running), "correction", int(st.choice.Correction), "reading-ms", st.choice.ReadingAge.Milliseconds(), "waited-ms", st.waited.Milliseconds(), "pause-ms", st.maxPause.Milliseconds(), "ms", st.sv.Clock.Now().Sub(st.arrived).Milliseconds())
	st.count("passed-2xx")
}

package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/http1"
)

// relay forwards events as they arrive. It returns nil at the end of a complete stream.
func (st *stream) relay(ctx context.Context, ex *http1.Exchange, ti *dispatch.Ticket, ch dispatch.Choice, sent time.Time) error {
	er := newEventReader(ex)
	for first := true; ; first = false {
		event, err := er.next()
		if err == io.EOF {
			leader := ch.Group.Leader()
			if err := st.checkUnframedEnd(ctx, ex, leader.ID, leader.Address); err != nil {
				return err
			}
			return st.writeHeader(ex.Response.Header)
		}
		if err != nil {
			return err
		}
		now := st.sv.Clock.Now()
		ti.Event(now)
		if first {
			predictionErrors.Update((now.Sub(sent) - ch.FirstEvent).Abs().Seconds())
		}
		if err := st.writeEvent(ex.Response.Header, event, now); err != nil {
			return err
		}
	}
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
	if st.events == 0 {
		st.firstEvent = now.Sub(st.arrived)
		firstEventTimes.Update(st.firstEvent.Seconds())
	} else {
		st.maxPause = max(st.maxPause, now.Sub(st.lastAt))
		eventPauses.Update(now.Sub(st.lastAt).Seconds())
	}
	rc := http.NewResponseController(st.w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := st.w.Write(event); err != nil {
		return errCallerGone
	}
	if err := rc.Flush(); err != nil {
		return errCallerGone
	}
	st.events++
	st.lastAt = now
	if ok {
		st.lastID, st.hasID = id, true
	}
	return nil
}

var errCallerGone = errors.New("front: caller disconnected")

// writeHeader sends the header of the first group's response, once.
func (st *stream) writeHeader(header http.Header) error {
	if st.started {
		return nil
	}
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
	st.reportCompletion(sent)
	st.sv.Table.RecordAnswer(st.choice.Group, st.events, st.sv.Clock.Now())
	st.log.Info("front: answered.", "outcome", "whole", "status", http.StatusOK, "sends", st.sends, "events", st.events,
		"group", st.choice.Group.Name, "first-ms", st.firstEvent.Milliseconds(), "predicted-ms", st.choice.FirstEvent.Milliseconds(),
		"fits", st.choice.MeetsObjective, "running", int(st.choice.Running), "correction", int(st.choice.Correction), "reading-ms", st.choice.ReadingAge.Milliseconds(), "waited-ms", st.waited.Milliseconds(), "pause-ms", st.maxPause.Milliseconds(), "ms", st.sv.Clock.Now().Sub(st.arrived).Milliseconds())
	st.count("passed-2xx")
}

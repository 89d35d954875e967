package entry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"reflect"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/steward"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

const (
	// lateAnswer bounds the wait for an answer that counts as missing already: when it
	// comes, it tells that the endpoint lives.
	lateAnswer = 1200 * time.Millisecond
	// timerSlack is how late a timer of this machine may be: beyond it the machine stood
	// still, and an answer may wait unread. Its share of a processor is dealt out in
	// tenths of a second.
	timerSlack = 20 * time.Millisecond
	// orderTimeout bounds an order. One without an answer is found out about
	// by asking the endpoint.
	orderTimeout = 300 * time.Millisecond
	// maxReport bounds a report.
	maxReport = 64 << 10
	// stepShare is the part of the control loop's time that the steward's steps may
	// take. A step for 1,100 VMs takes a millisecond or two, and events come in
	// thousands a second when a steward begins.
	stepShare = 0.25
	// demandInterval is the time between looks at what callers ask for. Daemons tell of it
	// some ten times a second.
	demandInterval = 100 * time.Millisecond
)

// stepSteward does the steward's work, while the lease is certainly held.
func (ct *control) stepSteward(now time.Time) {
	sh := &ct.lease
	if sh.core == nil {
		return
	}
	if ct.lapsed(now) {
		return
	}
	if !ct.haveAll || ct.da.currentConfig() == nil {
		return
	}
	if !sh.asked {
		sh.asked = true
		for _, ep := range ct.endpoints {
			sh.core.Register(ep, now)
		}
		ct.recall(now)
	}
	sh.core.InitialLoads = ct.initial()
	if wait := sh.stepAfter.Sub(now); wait > 0 {
		ct.wake.Reset(wait)
		return
	}
	if now.Sub(sh.demandAt) >= demandInterval {
		sh.demandAt = now
		sh.core.SetDemand(ct.da.table.Demand(now), now)
	}
	ct.execute(sh.core.Step(now))
	st := sh.core.Stats()
	ct.da.stats.Store(&st)
	ct.logEvents(sh.core.Events())
	ct.publish()
	took := ct.da.Clock.Now().Sub(now)
	sh.stepAfter = now.Add(time.Duration(float64(took) / stepShare))
}

// initial tells whether the system starts for the first time and no caller has sent
// a request yet: loads are free then. After a loss of all daemons none has served
// either, and the weight store's limit holds.
func (ct *control) initial() bool {
	return ct.da.Settings.Bootstrap && !ct.served && ct.da.front.Received() == 0
}

// recall tells a new steward of members that the last view named and the store
// does not name in the same life, so that it does not wait for their entries.
func (ct *control) recall(now time.Time) {
	if ct.told == nil {
		return
	}
	for _, gr := range ct.told.Groups {
		for _, me := range gr.Members {
			if ep, ok := ct.endpoints[me.ID]; !ok || ep.Incarnation.Differs(me.Incarnation) {
				ct.lease.core.RestoreMember(gr, me, now)
			}
		}
	}
}

func (ct *control) logEvents(evs []steward.Event) {
	for _, ev := range evs {
		if ev.Kind == steward.GroupHealthy {
			ct.sound.note(mesh.GroupRef{Group: ev.Group, Epoch: ev.Epoch}, ct.da.Clock.Now())
			ct.da.table.MarkHealthy(ev.Group)
			continue
		}
		metrics.GetOrCreateCounter(`corianderhub_steward_events_total{what="` + ev.Kind + `"}`).Inc()
		ct.da.Log.Info("steward: "+ev.Kind+".", "term", ct.lease.term, "group", ev.Group, "model", ev.Model, "vm", ev.VM,
			"reason", ev.Reason, "members", ev.Members)
	}
}

// maxChangeMembers bounds the members that a change names which goes out with a
// beat: some 40 bytes each, so that it stays within a few packets.
const maxChangeMembers = 64

// publish replaces the view if anything in it has changed, and tells the other
// daemons at once.
func (ct *control) publish() {
	sh := &ct.lease
	cfg := ct.da.currentConfig()
	vi := &catalog.View{Term: sh.term, Revision: ct.revision, Plain: catalog.PlainEndpoints(ct.endpoints, cfg), Groups: sh.core.Groups()}
	if sh.published != nil && reflect.DeepEqual(sh.published.Groups, vi.Groups) && reflect.DeepEqual(sh.published.Plain, vi.Plain) {
		return
	}
	sh.sequence++
	vi.Sequence = sh.sequence
	ex := beatExtra{to: mesh.ToEveryone}
	if sh.published != nil {
		if ch := sh.published.ChangeTo(vi); ch.Members() <= maxChangeMembers {
			ex.change = ch
		}
	}
	sh.published = vi
	ct.hearView(vi)
	ct.sendBeat(ex)
	st := ct.da.stats.Load()
	ct.da.Log.Info("steward: view published.", "term", sh.term, "view", sh.sequence, "serving", st.Serving, "by-model", st.ByModel, "busy", st.Busy, "forming", st.Forming,
		"broken", st.Broken, "spares", st.Spares, "stranded", st.Stranded, "down", st.Down)
}

// execute makes the steward's calls, each in a goroutine of its own.
func (ct *control) execute(calls []steward.Call) {
	core, term := ct.lease.core, ct.lease.term
	for _, ca := range calls {
		switch ca := ca.(type) {
		case steward.Poll:
			ct.da.once(&ct.wg, func(ctx context.Context) { ct.ask(ctx, core, ca) })
		case steward.Command:
			ct.da.once(&ct.wg, func(ctx context.Context) { ct.command(ctx, core, term, ca) })
		}
	}
}

// forCore runs fn in the control loop if this daemon is still the steward that
// made the call.
func (ct *control) forCore(core *steward.Core, fn func(*steward.Core, time.Time)) {
	ct.post(func() {
		if ct.lease.core == core {
			fn(core, ct.da.Clock.Now())
		}
	})
}

// ask puts a question. Its answer counts also when it comes after the question's
// limit.
func (ct *control) ask(ctx context.Context, core *steward.Core, as steward.Poll) {
	asked := ct.da.Clock.Now()
	answered, cancel := context.WithCancel(ctx)
	defer cancel()
	var re catalog.Report
	var err error
	ct.da.once(&ct.wg, func(ctx context.Context) {
		defer cancel()
		re, err = ct.da.report(ctx, as.ID, as.Address, lateAnswer, as.Urgent)
	})
	if ct.da.Clock.Sleep(answered, as.Timeout) == nil {
		late := ct.da.Clock.Now().Sub(asked) > as.Timeout+timerSlack
		ct.unanswered(core, as, asked, late, "no answer in time")
		<-answered.Done()
		if err != nil || ctx.Err() != nil {
			return
		}
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		ct.unanswered(core, as, asked, false, err.Error())
		return
	}
	ct.forCore(core, func(co *steward.Core, now time.Time) { co.HandleReport(as.ID, re, asked, now) })
}

// unanswered tells the steward's core that a question was not answered. What this machine
// was too late for says nothing of the endpoint: late tells that the question's own
// timer was, and the control loop may have been.
func (ct *control) unanswered(core *steward.Core, as steward.Poll, asked time.Time, late bool, why string) {
	ct.forCore(core, func(co *steward.Core, now time.Time) {
		if late || ct.lateSince(asked) {
			co.HandleInconclusivePoll(as.ID, asked, now)
			return
		}
		co.HandlePollFailure(as.ID, why, asked, now)
	})
}

// report asks an endpoint for its state.
func (da *Daemon) report(ctx context.Context, id, address string, limit time.Duration, fresh bool) (catalog.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	metrics.GetOrCreateCounter("corianderhub_asks_total").Inc()
	_, body, err := da.call(ctx, address, &http1.Request{Method: http.MethodGet, URI: platform.PathReport, Host: address,
		Header: http.Header{platform.HeaderExpectEndpoint: {id}}, Fresh: fresh})
	if err != nil {
		return catalog.Report{}, err
	}
	return platform.DecodeReport(body)
}

var errStatus = errors.New("unexpected status")

// call makes a call to an endpoint that is not a caller's request.
func (da *Daemon) call(ctx context.Context, address string, rq *http1.Request) (int, []byte, error) {
	sent := da.Clock.Now()
	ex, err := da.pool.Send(ctx, address, rq)
	if err != nil {
		return 0, nil, err
	}
	defer ex.Close()
	da.front.ApplyControlResponseHeader(catalog.Instance{ID: rq.Header.Get(platform.HeaderExpectEndpoint)}, ex.Response, sent)
	body, err := ex.ReadAll(maxReport)
	if err != nil {
		return 0, nil, err
	}
	if rq.Method == http.MethodGet && ex.Response.StatusCode != http.StatusOK {
		return ex.Response.StatusCode, nil, eris.Wrapf(errStatus, "status %d", ex.Response.StatusCode)
	}
	return ex.Response.StatusCode, body, nil
}

func (ct *control) command(ctx context.Context, core *steward.Core, term int64, cd steward.Command) {
	out, status, err := ct.da.order(ctx, term, cd)
	ct.da.Log.Info("steward: ordered.", "term", term, "vm", cd.ID, "order", catalog.Summary(cd.Order), "if-orders", cd.IfOrders, "status", status, "cause", cause(err))
	ct.forCore(core, func(co *steward.Core, now time.Time) { co.HandleOutcome(cd, out, now) })
}

func cause(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// order sends an order and tells what came of it.
func (da *Daemon) order(ctx context.Context, term int64, cd steward.Command) (steward.Outcome, int, error) {
	fence := int64(0)
	if da.Settings.Bounds.Fencing {
		fence = term
	}
	body, err := platform.EncodeOrder(cd.Order, fence, cd.IfOrders)
	if err != nil {
		return steward.Refused, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	metrics.GetOrCreateCounter("corianderhub_orders_total").Inc()
	header := http.Header{"Content-Type": {"application/json"}, platform.HeaderExpectEndpoint: {cd.ID}}
	status, answer, err := da.call(ctx, cd.Address, &http1.Request{Method: http.MethodPost, URI: platform.PathOrder,
		Host: cd.Address, Header: header, Body: bytes.Clone(body)})
	switch {
	case err != nil:
		return steward.Unanswered, 0, err
	case status == http.StatusOK || status == http.StatusAccepted:
		return steward.Accepted, status, nil
	}
	return steward.Refused, status, eris.New(string(answer))
}

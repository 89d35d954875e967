package entry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"reflect"
	"syscall"
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
	// lateReportTimeout bounds the wait for a report that already counts as missing. A
	// late report still shows that the endpoint is alive.
	lateReportTimeout = 1200 * time.Millisecond
	// timerSlack is how late a timer may fire before the delay is attributed to this
	// machine. The CPU quota is enforced in periods of 100 ms, so a throttled process may
	// leave a received response unread.
	timerSlack = 20 * time.Millisecond
	// orderTimeout bounds an order. If an order is not answered, the steward polls the
	// endpoint to find out whether it took effect.
	orderTimeout = 300 * time.Millisecond
	// maxReportBytes bounds the body of a report.
	maxReportBytes = 64 << 10
	// stepShare is the maximum share of the control loop's time spent in steward steps. A
	// step for 1,100 VMs takes 1 to 2 ms, and a new steward receives thousands of events
	// per second.
	stepShare = 0.25
	// demandInterval is the time between updates of the demand in the steward's core.
	// Daemons report demand about ten times per second.
	demandInterval = 100 * time.Millisecond
)

// stepSteward runs one step of the steward's core and executes its calls. It does nothing
// unless this daemon certainly holds the lease.
func (ct *control) stepSteward(now time.Time) {
	sh := &ct.lease
	if sh.core == nil {
		return
	}
	if ct.lapsed(now) {
		return
	}
	ct.raiseTerm(now)
	if !ct.haveAll || ct.da.currentConfig() == nil {
		return
	}
	if !sh.registered {
		sh.registered = true
		for _, ep := range ct.endpoints {
			sh.core.Register(ep, now)
		}
		ct.restoreMembers(now)
	}
	sh.core.InitialLoads = ct.isInitialStart()
	if wait := sh.nextStep.Sub(now); wait > 0 {
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
	sh.nextStep = now.Add(time.Duration(float64(took) / stepShare))
}

// isInitialStart reports whether the system starts for the first time and has not served
// any request yet. Only then are loads exempt from the weight store's rate limit: after a
// loss of all daemons the served counters are zero too, but the limit applies.
func (ct *control) isInitialStart() bool {
	return ct.da.Settings.Bootstrap && !ct.served && ct.da.front.Received() == 0
}

// restoreMembers passes members of the last view to a new steward if the store has no entry
// for the same incarnation, so that the steward does not wait for their entries.
func (ct *control) restoreMembers(now time.Time) {
	if ct.stewardView == nil {
		return
	}
	for _, gr := range ct.stewardView.Groups {
		for _, me := range gr.Members {
			if ep, ok := ct.endpoints[me.ID]; !ok || ep.Incarnation.Differs(me.Incarnation) {
				ct.lease.core.RestoreMember(gr, me, now)
			}
		}
	}
}

// logEvents counts and logs the events of the steward's core. Groups found healthy are
// announced to the other daemons instead.
func (ct *control) logEvents(evs []steward.Event) {
	for _, ev := range evs {
		if ev.Kind == steward.GroupHealthy {
			ct.healthy.add(mesh.GroupRef{Group: ev.Group, Epoch: ev.Epoch}, ct.da.Clock.Now())
			ct.da.table.MarkHealthy(ev.Group)
			continue
		}
		metrics.GetOrCreateCounter(`corianderhub_steward_events_total{what="` + ev.Kind + `"}`).Inc()
		args := []any{"term", ct.lease.term, "group", ev.Group, "model", ev.Model, "vm", ev.VM, "reason", ev.Reason, "members", ev.Members}
		if ev.Silence > 0 {
			args = append(args, "silent-ms", ev.Silence.Milliseconds(), "held-ms", ev.Held.Milliseconds(), "requests", ev.Requests)
		}
		ct.da.Log.Info("steward: "+ev.Kind+".", args...)
	}
}

// maxChangeMembers bounds the members in a view change that is sent with a heartbeat. Each
// takes about 40 bytes, so the heartbeat fits into a few packets.
const maxChangeMembers = 64

// publish publishes a new view if the groups or plain endpoints have changed, and sends it
// to all daemons immediately.
func (ct *control) publish() {
	sh := &ct.lease
	cfg := ct.da.currentConfig()
	vi := &catalog.View{Term: sh.term, Revision: ct.read.Revision, Era: ct.read.Era, Plain: catalog.PlainEndpoints(ct.endpoints, cfg), Groups: sh.core.Groups()}
	if sh.published != nil && reflect.DeepEqual(sh.published.Groups, vi.Groups) && reflect.DeepEqual(sh.published.Plain, vi.Plain) {
		return
	}
	sh.sequence++
	vi.Sequence = sh.sequence
	ex := heartbeatExtra{to: mesh.ToEveryone}
	if sh.published != nil {
		if ch := sh.published.ChangeTo(vi); ch.Members() <= maxChangeMembers {
			ex.change = ch
		}
	}
	sh.published = vi
	ct.applyView(vi)
	ct.sendHeartbeat(ex)
	st := ct.da.stats.Load()
	ct.da.Log.Info("steward: view published.", "term", sh.term, "view", sh.sequence, "serving", st.Serving, "by-model", st.ByModel, "busy", st.Busy, "forming", st.Forming,
		"broken", st.Broken, "spares", st.Spares, "stranded", st.Stranded, "down", st.Down)
}

// execute runs each of the steward's calls in its own goroutine.
func (ct *control) execute(calls []steward.Call) {
	core, term := ct.lease.core, ct.lease.term
	for _, ca := range calls {
		switch ca := ca.(type) {
		case steward.Poll:
			ct.da.spawn(&ct.wg, func(ctx context.Context) { ct.poll(ctx, core, ca) })
		case steward.Command:
			ct.da.spawn(&ct.wg, func(ctx context.Context) { ct.command(ctx, core, term, ca) })
		case steward.Connect:
			ct.da.spawn(&ct.wg, func(ctx context.Context) { ct.connect(ctx, core, ca) })
		}
	}
}

// connect opens a connection to an endpoint and closes it.
func (ct *control) connect(ctx context.Context, core *steward.Core, as steward.Connect) {
	nc, err := ct.da.dialer.Dial(ctx, as.Address)
	if err != nil {
		return // The endpoint counts as unreachable until a connection is opened.
	}
	nc.Close()
	ct.withCore(core, func(co *steward.Core, now time.Time) { co.HandleConnected(as.ID, now) })
}

// withCore runs fn in the control loop if core is still the active steward core.
func (ct *control) withCore(core *steward.Core, fn func(*steward.Core, time.Time)) {
	ct.post(func() {
		if ct.lease.core == core {
			fn(core, ct.da.Clock.Now())
		}
	})
}

// poll requests an endpoint's report. The report is also used if it arrives after the
// poll's timeout.
func (ct *control) poll(ctx context.Context, core *steward.Core, as steward.Poll) {
	sentAt := ct.da.Clock.Now()
	answered, cancel := context.WithCancel(ctx)
	defer cancel()
	var re catalog.Report
	var err error
	ct.da.spawn(&ct.wg, func(ctx context.Context) {
		defer cancel()
		re, err = ct.da.report(ctx, as.ID, as.Address, lateReportTimeout, as.Urgent)
	})
	if ct.da.Clock.Sleep(answered, as.Timeout) == nil {
		late := ct.da.Clock.Now().Sub(sentAt) > as.Timeout+timerSlack
		ct.pollFailed(core, as, sentAt, late, errPollTimeout)
		<-answered.Done()
		if err != nil || ctx.Err() != nil {
			return
		}
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		ct.pollFailed(core, as, sentAt, false, err)
		return
	}
	ct.withCore(core, func(co *steward.Core, now time.Time) { co.HandleReport(as.ID, re, sentAt, now) })
}

var errPollTimeout = errors.New("poll timed out")

// pollFailed reports a failed poll to the steward's core. If this machine ran late, the
// poll is inconclusive, since the endpoint may have answered in time. late is set if the
// poll's own timer fired late; the control loop is checked as well.
func (ct *control) pollFailed(core *steward.Core, as steward.Poll, sentAt time.Time, late bool, why error) {
	ct.withCore(core, func(co *steward.Core, now time.Time) {
		switch {
		case errors.Is(why, syscall.ECONNREFUSED):
			co.HandleRefusedPoll(as.ID, why.Error(), sentAt, now)
		case late || ct.lateSince(sentAt):
			co.HandleInconclusivePoll(as.ID, sentAt, now)
		default:
			co.HandlePollFailure(as.ID, why.Error(), sentAt, now)
		}
	})
}

// report requests an endpoint's report. fresh requires a new connection.
func (da *Daemon) report(ctx context.Context, id, address string, limit time.Duration, fresh bool) (catalog.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	metrics.GetOrCreateCounter("corianderhub_asks_total").Inc()
	_, body, err := da.call(ctx, address, &http1.Request{Method: http.MethodGet, URI: platform.PathReport, Host: address,
		Header: http.Header{platform.HeaderExpectEndpoint: {id}}, NoReuse: fresh})
	if err != nil {
		return catalog.Report{}, err
	}
	return platform.DecodeReport(body)
}

var errStatus = errors.New("unexpected status")

// call sends a control request (not a caller's request) to an endpoint and returns the
// status and body of the response. For GET, any status other than 200 is an error.
func (da *Daemon) call(ctx context.Context, address string, rq *http1.Request) (int, []byte, error) {
	sent := da.Clock.Now()
	ex, err := da.pool.Send(ctx, address, rq)
	if err != nil {
		return 0, nil, err
	}
	defer ex.Close()
	da.front.ApplyControlResponseHeader(catalog.Instance{ID: rq.Header.Get(platform.HeaderExpectEndpoint)}, ex.Response, sent)
	body, err := ex.ReadAll(maxReportBytes)
	if err != nil {
		return 0, nil, err
	}
	if rq.Method == http.MethodGet && ex.Response.StatusCode != http.StatusOK {
		return ex.Response.StatusCode, nil, eris.Wrapf(errStatus, "got status %d, want 200", ex.Response.StatusCode)
	}
	return ex.Response.StatusCode, body, nil
}

// command sends an order and passes its outcome to the steward's core.
func (ct *control) command(ctx context.Context, core *steward.Core, term int64, cd steward.Command) {
	out, status, err := ct.da.order(ctx, term, cd)
	ct.da.Log.Info("steward: ordered.", "term", term, "vm", cd.ID, "order", catalog.OrderSummary(cd.Order), "if-orders", cd.IfOrders, "status", status, "cause", errText(err))
	ct.withCore(core, func(co *steward.Core, now time.Time) { co.HandleOutcome(cd, out, now) })
}

// errText returns the text of err, or "" if err is nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// order sends an order to an endpoint and returns its outcome and the response status. The
// status is 0 if there was no response.
func (da *Daemon) order(ctx context.Context, term int64, cd steward.Command) (steward.Outcome, int, error) {
	fence := int64(0)
	if da.Settings.Bounds.ChecksFencing {
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
	return steward.Refused, status, eris.New(http1.Excerpt(string(answer)))
}

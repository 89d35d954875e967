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
	// askTimeout bounds a question to an endpoint, which takes some 3 ms;
	// urgentTimeout bounds one that decides whether a group has lost a member.
	askTimeout    = 400 * time.Millisecond
	urgentTimeout = 120 * time.Millisecond
	// orderTimeout bounds an order. One without an answer is found out about
	// by asking the endpoint.
	orderTimeout = 300 * time.Millisecond
	// maxReport bounds a report.
	maxReport = 64 << 10
	// settleLimit bounds the wait for all endpoints to report to a new steward.
	settleLimit = 700 * time.Millisecond
)

// stepSteward does the steward's work, while the lease is certainly held.
func (ct *control) stepSteward(now time.Time) {
	sh := &ct.lease
	if sh.core == nil {
		return
	}
	if !ct.holds() {
		ct.loseSteward("lease lapsed")
		return
	}
	if !ct.haveAll || ct.da.currentConfig() == nil {
		return
	}
	if !sh.asked {
		sh.asked = true
		sh.begun = now
		for _, ep := range ct.endpoints {
			sh.core.Register(ep, now)
		}
		ct.recall(now)
	}
	sh.core.Initial = ct.initial()
	if !sh.core.Settled() && now.Sub(sh.begun) < settleLimit {
		ct.execute(sh.core.AskOnly(now))
		return
	}
	ct.execute(sh.core.Step(now))
	st := sh.core.Stats()
	ct.da.stats.Store(&st)
	ct.logEvents(sh.core.Events())
	ct.publish()
}

// initial tells whether the system starts for the first time and no caller has sent
// a request yet: loads are free then. After a loss of all daemons none has served
// either, and the weight store's limit holds.
func (ct *control) initial() bool {
	return ct.da.Settings.Bootstrap && !ct.served && ct.da.front.Served() == 0
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
				ct.lease.core.Recall(gr, me, now)
			}
		}
	}
}

func (ct *control) logEvents(evs []steward.Event) {
	for _, ev := range evs {
		if ev.What == steward.GroupSound {
			ct.sound.note(mesh.Suspect{Group: ev.Group, Epoch: ev.Epoch}, ct.da.Clock.Now())
			ct.da.table.Sound(ev.Group)
			continue
		}
		ct.da.Log.Info("steward: "+ev.What+".", "term", ct.lease.term, "group", ev.Group, "model", ev.Model, "vm", ev.VM,
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
	ct.da.Log.Info("steward: view published.", "term", sh.term, "view", sh.sequence, "serving", st.Serving, "by-model", st.ByModel, "forming", st.Forming,
		"broken", st.Broken, "spares", st.Spares, "stranded", st.Stranded, "down", st.Down)
}

// execute makes the steward's calls, each in a goroutine of its own.
func (ct *control) execute(calls []steward.Call) {
	core, term := ct.lease.core, ct.lease.term
	for _, ca := range calls {
		switch ca := ca.(type) {
		case steward.Ask:
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

func (ct *control) ask(ctx context.Context, core *steward.Core, as steward.Ask) {
	limit := askTimeout
	if as.Urgent {
		limit = urgentTimeout
	}
	asked := ct.da.Clock.Now()
	re, err := ct.da.report(ctx, as.ID, as.Address, limit, as.Urgent)
	ct.forCore(core, func(co *steward.Core, now time.Time) {
		switch {
		case err == nil:
			co.Reported(as.ID, re, asked, now)
		case ct.lateSince(asked):
			co.Inconclusive(as.ID, now)
		default:
			co.Failed(as.ID, err.Error(), now)
		}
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
	ex, err := da.pool.Send(ctx, address, rq)
	if err != nil {
		return 0, nil, err
	}
	defer ex.Close()
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
	ct.da.Log.Info("steward: ordered.", "term", term, "vm", cd.ID, "order", cd.Order, "if-orders", cd.IfOrders, "status", status, "cause", cause(err))
	ct.forCore(core, func(co *steward.Core, now time.Time) { co.Done(cd, out, now) })
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

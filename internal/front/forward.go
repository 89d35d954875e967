package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/platform"
)

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// ownHeaders are set by this system alone, whatever the caller sent.
var ownHeaders = []string{platform.HeaderWorkspace, platform.HeaderExpectEndpoint, platform.HeaderPriority, platform.HeaderDeadline}

func dropHop(header http.Header) {
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// outgoing returns the request as it is sent to an endpoint, which refuses it
// unless it is the one expected.
func (ca *call) outgoing(endpoint string, fresh bool) *http1.Request {
	header := ca.req.Header.Clone()
	dropHop(header)
	for _, name := range ownHeaders {
		header.Del(name)
	}
	if ca.keyed {
		header.Del(platform.HeaderAuthorization)
	}
	if ca.workspace != nil {
		header.Set(platform.HeaderWorkspace, ca.workspace.Name)
	}
	header.Set(platform.HeaderExpectEndpoint, endpoint)
	header.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, ca.left().Milliseconds()), 10))
	header.Set(platform.HeaderPriority, strconv.Itoa(ca.priority()))
	return &http1.Request{Method: ca.req.Method, URI: ca.req.RequestURI, Host: ca.req.Host, Header: header,
		Body: ca.body, IDHeader: platform.HeaderRequestID, Fresh: fresh, MaxIdle: ca.maxIdle}
}

// idleShare is the part of the connections that an endpoint accepts which all
// daemons together may keep idle. New ones must always find a place: beyond it
// they are reset, and whether a request that must not repeat was read is then
// unknown. With 68 daemons and 110 connections, idle ones of 4 s made 455 resets
// in a day of 32,000 requests.
const idleShare = 0.3

// maxIdle is how many idle connections this daemon may keep to an endpoint that
// accepts that many from all of the daemons.
func maxIdle(accepts, daemons int) int {
	if accepts <= 0 {
		return 0
	}
	if each := int(idleShare * float64(accepts) / float64(max(1, daemons))); each > 0 {
		return each
	}
	return http1.NoIdle
}

// priority is the request's rank, from 0 to 9; a workspace's goes first.
func (ca *call) priority() int {
	if ca.workspace != nil && ca.workspace.Priority >= 0 {
		return min(maxPriority, ca.workspace.Priority)
	}
	return min(maxPriority, max(0, ca.route.Priority))
}

const maxPriority = 9

func copyHeaders(to, from http.Header) {
	from = from.Clone()
	dropHop(from)
	for name, vals := range from {
		to[name] = vals
	}
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// notRun tells whether an endpoint's answer says that it did not run the
// request and never will.
func notRun(rsp *http.Response) bool {
	return rsp.StatusCode == http.StatusMisdirectedRequest || rsp.Header.Get(platform.HeaderNotRun) != ""
}

// refusal is an answer of this system's own.
type refusal struct {
	status int
	reason string
	// again is when the caller may come back; 0 when that would not help.
	again time.Duration
	cause error
}

const (
	// againStarting is when a daemon that has just started should know more.
	againStarting = 300 * time.Millisecond
	// againSpread is the part of the time to come back that varies, so that
	// callers who were refused together don't return together.
	againSpread = 0.5
)

// refuse answers the request by itself. The status says what is known: 503
// only if the request did not run and never will.
func (ca *call) refuse(re refusal) {
	attrs := []any{"outcome", "refused", "status", re.status, "reason", re.reason, "sends", ca.sends,
		"waited-ms", ca.waited.Milliseconds(), "ms", ca.sv.Clock.Now().Sub(ca.arrived).Milliseconds()}
	if re.cause != nil {
		attrs = append(attrs, "cause", re.cause.Error())
	}
	ca.log.Info("front: answered.", attrs...)
	ca.count("refused-" + re.reason)
	header := ca.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if ca.id != "" {
		header.Set(platform.HeaderRequestID, ca.id)
	}
	if re.again > 0 {
		wait := re.again.Seconds() * (1 + againSpread*float64(hash(ca.id)%1000)/1000)
		header.Set(platform.HeaderRetryAfter, strconv.FormatFloat(wait, 'f', 3, 64))
	}
	body := re.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	ca.w.WriteHeader(re.status)
	if _, err := ca.w.Write([]byte(body)); err != nil {
		ca.log.Debug("front: caller left before the refusal.", "cause", err.Error())
	}
}

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

// hopHeaders are the hop-by-hop headers. They apply to one connection and are not forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// reservedHeaders are set only by this system. Values sent by the caller are removed.
var reservedHeaders = []string{platform.HeaderWorkspace, platform.HeaderExpectEndpoint, platform.HeaderPriority, platform.HeaderDeadline}

func removeHopHeaders(header http.Header) {
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// endpointRequest returns the request to send to an endpoint. The endpoint refuses it unless
// its ID is the expected one. noReuse requires a new connection.
func (ca *call) endpointRequest(endpoint string, noReuse bool) *http1.Request {
	header := ca.req.Header.Clone()
	removeHopHeaders(header)
	for _, name := range reservedHeaders {
		header.Del(name)
	}
	if ca.needsKey {
		header.Del(platform.HeaderAuthorization)
	}
	if ca.workspace != nil {
		header.Set(platform.HeaderWorkspace, ca.workspace.Name)
	}
	header.Set(platform.HeaderExpectEndpoint, endpoint)
	header.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, ca.remaining().Milliseconds()), 10))
	header.Set(platform.HeaderPriority, strconv.Itoa(ca.priority()))
	return &http1.Request{Method: ca.req.Method, URI: ca.req.RequestURI, Host: ca.req.Host, Header: header,
		Body: ca.body, IDHeader: platform.HeaderRequestID, NoReuse: noReuse, MaxIdle: ca.maxIdle}
}

// idleShare is the share of an endpoint's connection limit that all daemons together may use
// for idle connections. The rest stays free for new connections: the endpoint resets those
// beyond its limit, and whether a request that must not be retried was read is then unknown.
// With 68 daemons and a limit of 110 connections, connections kept idle for 4 s caused 455
// resets in a day of 32,000 requests.
const idleShare = 0.3

// maxIdle returns how many idle connections this daemon may keep to an endpoint whose limit for
// all daemons together is maxConns. It returns 0, the default of the pool, if there is no limit.
func maxIdle(maxConns, daemons int) int {
	if maxConns <= 0 {
		return 0
	}
	if each := int(idleShare * float64(maxConns) / float64(max(1, daemons))); each > 0 {
		return each
	}
	return http1.NoIdle
}

// priority returns the request's priority, from 0 to 9. The workspace's priority overrides the
// route's unless it is out of range, which is logged once.
func (ca *call) priority() int {
	if ws := ca.workspace; ws != nil && ws.Priority >= 0 {
		if ws.Priority <= maxPriority {
			return ws.Priority
		}
		if ca.sv.invalidRank.CompareAndSwap(false, true) {
			ca.log.Warn("front: invalid priority of workspace ignored.", "workspace", ws.Name, "priority", ws.Priority)
		}
	}
	return min(maxPriority, max(0, ca.route.Priority))
}

const maxPriority = 9

func copyHeaders(to, from http.Header) {
	from = from.Clone()
	removeHopHeaders(from)
	for name, vals := range from {
		to[name] = vals
	}
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// notRun reports whether a response states that the endpoint did not run the request and never
// will.
func notRun(rsp *http.Response) bool {
	return rsp.StatusCode == http.StatusMisdirectedRequest || rsp.Header.Get(platform.HeaderNotRun) != ""
}

const (
	// retryAfterStarting is the retry delay while a daemon that has just started reads its
	// configuration.
	retryAfterStarting = 300 * time.Millisecond
	// retryAfterJitter is the largest extension of a retry delay, as a share of the delay. The
	// extension depends on the request ID, so that callers that were refused together don't
	// retry together.
	retryAfterJitter = 0.5
)

// refuse sends a response without an endpoint. The status is 503 only if the request did not
// run and never will.
func (ca *call) refuse(re refusal) {
	ca.log.Info("front: answered.", ca.refusalAttrs(&re)...)
	ca.countRefusal(&re)
	ca.count("refused-" + re.reason)
	ca.recordRefusal(&re)
	ca.closeIfStopping()
	header := ca.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if ca.id != "" {
		header.Set(platform.HeaderRequestID, ca.id)
	}
	if re.retryAfter > 0 {
		header.Set(platform.HeaderRetryAfter, strconv.FormatFloat(re.delay(ca.id).Seconds(), 'f', 3, 64))
	}
	body := re.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	ca.w.WriteHeader(re.status)
	if _, err := ca.w.Write([]byte(body)); err != nil {
		ca.log.Debug("front: caller disconnected before the refusal was sent.", "cause", err.Error())
	}
}

package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/internal/httphead"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// EngineFaults are the faults that an Engine can inject.
type EngineFaults struct {
	// Unresponsive accepts calls and does not respond to them.
	Unresponsive bool `json:"silent"`
	// Leaving reports that the VM is about to stop.
	Leaving bool `json:"leaving"`
	// TokenDelay is an extra delay before every token, in nanoseconds in JSON.
	TokenDelay time.Duration `json:"straggle"`
	// DisconnectAfter disconnects one stream after that many tokens. Zero means never.
	DisconnectAfter int `json:"cut-after"`
	// Truncate ends one stream cleanly, but without the usage chunk and the terminator.
	Truncate bool `json:"truncate"`
	// MismatchedResponse answers one request with the ID of another request.
	MismatchedResponse bool `json:"foreign"`
}

// Engine is a test double of the model engine on one VM. Set the exported fields
// before Run and Handler.
type Engine struct {
	VM          string
	Incarnation string
	// Platform is the address of the weight store. If empty, loads skip it.
	Platform string
	LoadTime time.Duration
	// TokenTime is the delay before each token. PrefillTime is the delay before the
	// first token per 1,000 tokens of the prompt.
	TokenTime   time.Duration
	PrefillTime time.Duration
	// Slots is the number of requests that run at once; further ones wait. Zero
	// means no limit.
	Slots int
	// OnPrompt is called with the prompt of each request that begins to run; nil means nothing.
	OnPrompt func(prompt string)
	// IgnoresFencing makes the engine accept orders with an old fencing token.
	IgnoresFencing bool

	once         sync.Once
	mu           sync.Mutex
	report       fleet.Report
	ring         []endpoint.RingAddress
	ringComplete bool
	faults       EngineFaults
	loads        int
	completed    int
	inFlight     int
	slots        chan struct{}
	// orderSeq is incremented by each order, so that a load that a later order
	// has superseded does not report ready.
	orderSeq int
	loading  bool
}

const (
	// ringInterval is the time between two polls of the ring, and ringTimeout limits
	// each.
	ringInterval = 100 * time.Millisecond
	ringTimeout  = 400 * time.Millisecond
	// reportLag is how late a change of the load appears in the report.
	reportLag = 200 * time.Millisecond
	// weightRetryInterval is the time between two attempts to load weights.
	weightRetryInterval = 200 * time.Millisecond
	// reportPath is the path that serves the member's report.
	reportPath = "/member"
)

func (en *Engine) init() {
	en.once.Do(func() {
		en.report.VM = en.VM
		en.report.Incarnation = en.Incarnation
		if en.Slots > 0 {
			en.slots = make(chan struct{}, en.Slots)
		}
	})
}

// Run polls the other members of the ring until ctx ends. A replica fails with any
// of its members, so its leader serves only while all members respond. Run returns
// nil.
func (en *Engine) Run(ctx context.Context) error {
	en.init()
	for ctx.Err() == nil {
		complete := en.checkRing(ctx)
		en.mu.Lock()
		en.ringComplete = complete
		en.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(ringInterval):
		}
	}
	return nil
}

// checkRing reports whether this engine leads a ring whose members are all ready
// under the same group, fencing token and generation.
func (en *Engine) checkRing(ctx context.Context) bool {
	en.mu.Lock()
	ring, mine := en.ring, en.report
	en.mu.Unlock()
	if len(ring) == 0 || ring[0].VM != en.VM || !mine.Ready {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ringTimeout)
	defer cancel()
	results := make(chan bool, len(ring))
	for _, ra := range ring[1:] {
		go func() {
			re, _, err := (endpoint.MemberClient{}).Probe(ctx, ra.Address)
			results <- err == nil && re.Ready && re.Group == mine.Group && re.Fence == mine.Fence && re.Generation == mine.Generation
		}()
	}
	for range ring[1:] {
		if !<-results {
			return false
		}
	}
	return true
}

// Handler serves the engine's API. POST /faults calls SetFaults, and GET /counts
// returns the values of Loads and Completed.
func (en *Engine) Handler() http.Handler {
	en.init()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+reportPath, en.withUnresponsive(en.getReport))
	mux.HandleFunc("POST /orders", en.withUnresponsive(en.postOrder))
	mux.HandleFunc("POST /v1/chat/completions", en.withUnresponsive(en.complete))
	mux.HandleFunc("POST /v1/completions", en.withUnresponsive(en.complete))
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, req *http.Request) {
		var ef EngineFaults
		if readJSON(w, req, &ef) {
			en.SetFaults(ef)
		}
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		en.mu.Lock()
		defer en.mu.Unlock()
		writeJSON(w, http.StatusOK, struct {
			Loads  int `json:"loads"`
			Served int `json:"served"`
		}{en.loads, en.completed})
	})
	return mux
}

// SetFaults replaces all injected faults.
func (en *Engine) SetFaults(ef EngineFaults) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults = ef
}

// Loads returns how many times weights were loaded.
func (en *Engine) Loads() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.loads
}

// withUnresponsive holds calls without a response while Unresponsive is set.
func (en *Engine) withUnresponsive(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		en.mu.Lock()
		unresponsive := en.faults.Unresponsive
		en.mu.Unlock()
		if unresponsive {
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next(w, req)
	}
}

func (en *Engine) getReport(w http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	re := en.report
	re.Leaving = en.faults.Leaving
	en.mu.Unlock()
	writeJSON(w, http.StatusOK, re)
}

// postOrder applies a join, prepare or release order. It answers 409 to an order for
// another incarnation or, unless IgnoresFencing is set, an older one than the last.
// A repeated order is ignored while its load is in progress.
func (en *Engine) postOrder(w http.ResponseWriter, req *http.Request) {
	var ob endpoint.OrderBody
	if !readJSON(w, req, &ob) {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	stale := ob.Fence < en.report.Fence || ob.Fence == en.report.Fence && ob.Generation < en.report.Generation
	if ob.Incarnation != en.Incarnation || stale && !en.IgnoresFencing {
		http.Error(w, "old order", http.StatusConflict)
		return
	}
	if ob.Fence == en.report.Fence && ob.Generation == en.report.Generation && ob.Group == en.report.Group && en.loading {
		return
	}
	en.orderSeq++
	en.loading = false
	en.report.Fence, en.report.Generation = ob.Fence, ob.Generation
	if ob.Kind == endpoint.KindRelease {
		en.report.Group, en.report.Ready, en.report.Ring, en.ring, en.ringComplete = "", false, nil, nil, false
		return
	}
	if ob.Kind == endpoint.KindPrepare {
		en.loading = true
		go en.load(ob, en.orderSeq)
		return
	}
	en.join(ob)
}

// join applies a join order and loads the model if it is not loaded. Callers hold mu.
func (en *Engine) join(ob endpoint.OrderBody) {
	en.report.Group = ob.Group
	en.report.Role = ob.Role
	en.report.Adapters = ob.Adapters
	en.ring = ob.Ring
	en.report.Ring = nil
	for _, ra := range ob.Ring {
		en.report.Ring = append(en.report.Ring, ra.VM)
	}
	if en.report.Model == ob.Model && en.report.Version == ob.Version {
		en.report.Ready = true
		return
	}
	en.report.Ready = false
	en.loading = true
	go en.load(ob, en.orderSeq)
}

// load requests the weights until the platform grants them, waits for LoadTime and
// reports the model as loaded, and as ready for a join order, unless a later order
// has superseded the load.
func (en *Engine) load(ob endpoint.OrderBody, seq int) {
	for en.Platform != "" && !en.grantsWeights(ob.Model, ob.Version) {
		time.Sleep(weightRetryInterval)
	}
	time.Sleep(en.LoadTime)
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.orderSeq != seq {
		return
	}
	en.loads++
	en.loading = false
	en.report.Model, en.report.Version, en.report.Ready = ob.Model, ob.Version, ob.Kind == endpoint.KindJoin
}

// grantsWeights requests weights from the platform.
func (en *Engine) grantsWeights(model, version string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+en.Platform+"/weights/"+model+"/"+version, nil)
	if err != nil {
		return false
	}
	rsp, err := httphead.Do(http.DefaultClient, req)
	if err != nil {
		return false
	}
	rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// refuse answers with 503 and the verdict not-run.
func (en *Engine) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(endpoint.HeaderVerdict, string(verdict.NotRun))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// acquireSlot counts a request and waits for a free slot. It returns false if ctx
// ends first; callers call releaseSlot otherwise.
func (en *Engine) acquireSlot(ctx context.Context) bool {
	en.adjustLoad(0, 1)
	if en.slots == nil {
		return true
	}
	select {
	case en.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		en.adjustLoad(0, -1)
		return false
	}
}

// addInFlight changes the number that InFlight returns, without the report's lag.
func (en *Engine) addInFlight(num int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.inFlight += num
}

func (en *Engine) releaseSlot() {
	if en.slots != nil {
		<-en.slots
	}
	en.adjustLoad(0, -1)
}

// adjustLoad changes the reported load after reportLag, because real engines report
// their load late, too.
func (en *Engine) adjustLoad(tokens int64, requests int) {
	time.AfterFunc(reportLag, func() {
		en.mu.Lock()
		defer en.mu.Unlock()
		en.report.Load.ResidentTokens += tokens
		en.report.Load.Requests += requests
	})
}

func (en *Engine) isRingComplete() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.ringComplete
}

// Leads reports whether the engine leads a complete ring, that is, serves requests.
func (en *Engine) Leads() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.ringComplete
}

// Completed returns how many streams sent all their tokens.
func (en *Engine) Completed() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.completed
}

// InFlight returns how many completion requests run now.
func (en *Engine) InFlight() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.inFlight
}

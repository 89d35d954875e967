package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// EngineFaults are the faults an Engine can be told to show.
type EngineFaults struct {
	// Silent accepts connections and never answers.
	Unresponsive bool `json:"silent"`
	// Leaving reports that the VM will stop soon.
	Leaving bool `json:"leaving"`
	// Straggle slows every token by this much.
	TokenDelay time.Duration `json:"straggle"`
	// CutAfter cuts streams after that many tokens, once.
	DisconnectAfter int `json:"cut-after"`
	// Truncate ends the next stream cleanly but without its terminator.
	Truncate bool `json:"truncate"`
	// Foreign answers the next request with another request's ID.
	MismatchedResponse bool `json:"foreign"`
}

// Engine is the stand-in for the engine on one VM. Set the exported fields
// before Run.
type Engine struct {
	VM          string
	Incarnation string
	// Platform is the address of the weight store; empty to load without one.
	Platform string
	LoadTime time.Duration
	// TokenTime is the pause between tokens, PrefillTime that before the
	// first, for each 1,000 tokens of the prompt.
	TokenTime   time.Duration
	PrefillTime time.Duration
	// Slots is how many requests run at once; others wait. Zero is unlimited.
	Slots int
	// IgnoresFencing accepts orders with an old fencing number.
	IgnoresFencing bool

	once   sync.Once
	mu     sync.Mutex
	report fleet.Report
	ring   []endpoint.RingAddress
	whole  bool
	faults EngineFaults
	loads  int
	served int
	busy   int
	slots  chan struct{}
	// generation changes with each order, so that a load which an order has
	// overtaken does not report ready.
	generation int
	loading    bool
}

const (
	ringPause   = 100 * time.Millisecond
	ringTimeout = 400 * time.Millisecond
	reportLag   = 200 * time.Millisecond
	weightPause = 200 * time.Millisecond
	// reportPath is the path of a member's report.
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

// Run keeps an eye on the other members of the ring until ctx ends. A replica
// dies with any of its members: the leader serves only while all answer.
func (en *Engine) Run(ctx context.Context) error {
	en.init()
	for ctx.Err() == nil {
		whole := en.checkRing(ctx)
		en.mu.Lock()
		en.whole = whole
		en.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(ringPause):
		}
	}
	return nil
}

func (en *Engine) checkRing(ctx context.Context) bool {
	en.mu.Lock()
	ring, mine := en.ring, en.report
	en.mu.Unlock()
	if len(ring) == 0 || ring[0].VM != en.VM || !mine.Ready {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ringTimeout)
	defer cancel()
	answers := make(chan bool, len(ring))
	for _, ra := range ring[1:] {
		go func() {
			re, _, err := (endpoint.MemberClient{}).Probe(ctx, ra.Address)
			answers <- err == nil && re.Ready && re.Group == mine.Group && re.Fence == mine.Fence && re.Generation == mine.Generation
		}()
	}
	for range ring[1:] {
		if !<-answers {
			return false
		}
	}
	return true
}

// Handler serves the engine's API.
func (en *Engine) Handler() http.Handler {
	en.init()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+reportPath, en.silenced(en.getReport))
	mux.HandleFunc("POST /orders", en.silenced(en.postOrder))
	mux.HandleFunc("POST /v1/chat/completions", en.silenced(en.complete))
	mux.HandleFunc("POST /v1/completions", en.silenced(en.complete))
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
		}{en.loads, en.served})
	})
	return mux
}

// SetFaults replaces the faults shown.
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

func (en *Engine) silenced(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		en.mu.Lock()
		silent := en.faults.Unresponsive
		en.mu.Unlock()
		if silent {
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

func (en *Engine) postOrder(w http.ResponseWriter, req *http.Request) {
	var ob endpoint.OrderBody
	if !readJSON(w, req, &ob) {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	old := ob.Fence < en.report.Fence || ob.Fence == en.report.Fence && ob.Generation < en.report.Generation
	if ob.Incarnation != en.Incarnation || old && !en.IgnoresFencing {
		http.Error(w, "old order", http.StatusConflict)
		return
	}
	if ob.Fence == en.report.Fence && ob.Generation == en.report.Generation && ob.Group == en.report.Group && en.loading {
		return
	}
	en.generation++
	en.loading = false
	en.report.Fence, en.report.Generation = ob.Fence, ob.Generation
	if ob.Kind == endpoint.KindRelease {
		en.report.Group, en.report.Ready, en.report.Ring, en.ring, en.whole = "", false, nil, nil, false
		return
	}
	if ob.Kind == endpoint.KindPrepare {
		en.loading = true
		go en.load(ob, en.generation)
		return
	}
	en.join(ob)
}

// join follows a join order. Callers hold mu.
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
	go en.load(ob, en.generation)
}

func (en *Engine) load(ob endpoint.OrderBody, generation int) {
	for en.Platform != "" {
		rsp, err := http.Get("http://" + en.Platform + "/weights/" + ob.Model + "/" + ob.Version)
		if err == nil {
			rsp.Body.Close()
			if rsp.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(weightPause)
	}
	time.Sleep(en.LoadTime)
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.generation != generation {
		return
	}
	en.loads++
	en.loading = false
	en.report.Model, en.report.Version, en.report.Ready = ob.Model, ob.Version, ob.Kind == endpoint.KindJoin
}

// completionBody is what the stand-in reads of a request.
type completionBody struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens    int  `json:"max_tokens"`
	ContinueLast bool `json:"continue_final_message"`
}

const defaultTokens = 16

// split returns the text to answer and how many tokens of the answer the
// request already holds.
func (cb completionBody) split(chat bool) (string, int) {
	if !chat {
		return cb.Prompt, 0
	}
	messages := cb.Messages
	given := 0
	if cb.ContinueLast && len(messages) > 0 {
		last := messages[len(messages)-1]
		var text string
		json.Unmarshal(last.Content, &text)
		given = len(strings.Fields(text))
		messages = messages[:len(messages)-1]
	}
	prompt := ""
	for _, me := range messages {
		prompt += me.Role + string(me.Content)
	}
	return prompt, given
}

// Word returns the stand-in's i-th word of the answer to prompt. It depends
// on nothing else, so that an answer resumed elsewhere can be checked whole.
func Word(prompt string, i int) string {
	hs := fnv.New32a()
	fmt.Fprintf(hs, "%s/%d", prompt, i)
	return fmt.Sprintf("w%d-%06x ", i, hs.Sum32()&0xffffff)
}

func (en *Engine) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(endpoint.HeaderVerdict, string(verdict.NotRun))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (en *Engine) complete(w http.ResponseWriter, req *http.Request) {
	en.mu.Lock()
	re, whole, ef := en.report, en.whole, en.faults
	en.mu.Unlock()
	meant := req.Header.Get(endpoint.HeaderGroup) == re.Group && req.Header.Get(endpoint.HeaderFence) == strconv.FormatUint(re.Fence, 10)
	if !meant || !whole {
		en.refuse(w, "not serving this group")
		return
	}
	raw, _ := io.ReadAll(io.LimitReader(req.Body, maxStandinBody))
	var cb completionBody
	if err := json.Unmarshal(raw, &cb); err != nil {
		w.Header().Set(endpoint.HeaderRequestID, req.Header.Get(endpoint.HeaderRequestID))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !en.enter(req.Context()) {
		return
	}
	defer en.exit()
	en.work(1)
	defer en.work(-1)
	requestID := req.Header.Get(endpoint.HeaderRequestID)
	if ef.MismatchedResponse {
		requestID = "another-request"
		ef.MismatchedResponse = false
		en.SetFaults(ef)
	}
	w.Header().Set(endpoint.HeaderRequestID, requestID)
	en.stream(w, req, cb, ef)
}

func (en *Engine) enter(ctx context.Context) bool {
	en.count(0, 1)
	if en.slots == nil {
		return true
	}
	select {
	case en.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		en.count(0, -1)
		return false
	}
}

// work counts what runs at this moment, for tests.
func (en *Engine) work(num int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.busy += num
}

func (en *Engine) exit() {
	if en.slots != nil {
		<-en.slots
	}
	en.count(0, -1)
}

// count changes the load reported, late as with real engines.
func (en *Engine) count(tokens int64, requests int) {
	time.AfterFunc(reportLag, func() {
		en.mu.Lock()
		defer en.mu.Unlock()
		en.report.Load.ResidentTokens += tokens
		en.report.Load.Requests += requests
	})
}

func (en *Engine) stream(w http.ResponseWriter, req *http.Request, cb completionBody, ef EngineFaults) {
	chat := strings.Contains(req.URL.Path, "chat")
	prompt, given := cb.split(chat)
	total := given + cb.MaxTokens
	if cb.MaxTokens == 0 {
		total = max(given, defaultTokens)
	}
	tokens := int64(len(prompt)/4 + total)
	en.count(tokens, 0)
	defer en.count(-tokens, 0)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	time.Sleep(en.PrefillTime * time.Duration(len(prompt)/4) / 1000)
	for i := given; i < total; i++ {
		time.Sleep(en.TokenTime + ef.TokenDelay)
		if ef.DisconnectAfter > 0 && i-given == ef.DisconnectAfter {
			ef.DisconnectAfter = 0
			en.SetFaults(ef)
			panic(http.ErrAbortHandler)
		}
		if req.Context().Err() != nil || !en.isWhole() {
			panic(http.ErrAbortHandler)
		}
		writeChunk(w, chat, Word(prompt, i), i == total-1)
		flusher.Flush()
	}
	en.mu.Lock()
	en.served++
	truncate := en.faults.Truncate
	en.faults.Truncate = false
	en.mu.Unlock()
	if truncate {
		return
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n",
		len(prompt)/4, total, len(prompt)/4+total)
}

func (en *Engine) isWhole() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.whole
}

func writeChunk(w io.Writer, chat bool, text string, last bool) {
	finish := "null"
	if last {
		finish = `"stop"`
	}
	if chat {
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", text, finish)
		return
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":%s}]}\n\n", text, finish)
}

// Leads tells whether the engine leads a whole ring.
func (en *Engine) Leads() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.whole
}

// Served returns how many completions ended whole.
func (en *Engine) Completed() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.served
}

// Busy returns how many completions run now.
func (en *Engine) InFlight() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.busy
}

package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/internal/endpoint"
)

// completionBody is the part of a completion request that the engine uses.
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

// defaultTokens is the length, in tokens, of an answer to a request without max_tokens.
const defaultTokens = 16

// split returns the prompt, and how many tokens of the answer the request already
// contains as the message to continue.
func (cb completionBody) split(chat bool) (string, int) {
	if !chat {
		return cb.Prompt, 0
	}
	messages := cb.Messages
	resumed := 0
	if cb.ContinueLast && len(messages) > 0 {
		last := messages[len(messages)-1]
		var text string
		json.Unmarshal(last.Content, &text)
		resumed = len(strings.Fields(text))
		messages = messages[:len(messages)-1]
	}
	prompt := ""
	for _, me := range messages {
		prompt += me.Role + string(me.Content)
	}
	return prompt, resumed
}

// Token returns token i of the answer to a prompt. It depends on nothing else, so that
// tests can check a complete answer that was resumed on another replica.
func Token(prompt string, i int) string {
	hs := fnv.New32a()
	fmt.Fprintf(hs, "%s/%d", prompt, i)
	return fmt.Sprintf("w%d-%06x ", i, hs.Sum32()&0xffffff)
}

// complete serves a completion request as the leader of a complete ring, and refuses
// requests for another group or fencing token.
func (en *Engine) complete(w http.ResponseWriter, req *http.Request) {
	en.mu.Lock()
	re, complete, ef := en.report, en.ringComplete, en.faults
	en.mu.Unlock()
	addressed := req.Header.Get(endpoint.HeaderGroup) == re.Group && req.Header.Get(endpoint.HeaderFence) == strconv.FormatUint(re.Fence, 10)
	if !addressed || !complete {
		en.refuse(w, "not serving this group")
		return
	}
	raw, _ := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	var cb completionBody
	if err := json.Unmarshal(raw, &cb); err != nil {
		w.Header().Set(endpoint.HeaderRequestID, req.Header.Get(endpoint.HeaderRequestID))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !en.acquireSlot(req.Context()) {
		return
	}
	defer en.releaseSlot()
	en.addInFlight(1)
	defer en.addInFlight(-1)
	requestID := req.Header.Get(endpoint.HeaderRequestID)
	if ef.MismatchedResponse {
		requestID = "another-request"
		ef.MismatchedResponse = false
		en.SetFaults(ef)
	}
	w.Header().Set(endpoint.HeaderRequestID, requestID)
	en.stream(w, req, cb, ef)
}

// stream sends the answer as server-sent events and applies the faults of streams. It
// disconnects if the ring becomes incomplete.
func (en *Engine) stream(w http.ResponseWriter, req *http.Request, cb completionBody, ef EngineFaults) {
	chat := strings.Contains(req.URL.Path, "chat")
	prompt, resumed := cb.split(chat)
	if en.OnPrompt != nil {
		en.OnPrompt(prompt)
	}
	total := resumed + cb.MaxTokens
	if cb.MaxTokens == 0 {
		total = max(resumed, defaultTokens)
	}
	tokens := int64(len(prompt)/4 + total)
	en.adjustLoad(tokens, 0)
	defer en.adjustLoad(-tokens, 0)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	time.Sleep(en.PrefillTime * time.Duration(len(prompt)/4) / 1000)
	for i := resumed; i < total; i++ {
		time.Sleep(en.TokenTime + ef.TokenDelay)
		if ef.DisconnectAfter > 0 && i-resumed == ef.DisconnectAfter {
			ef.DisconnectAfter = 0
			en.SetFaults(ef)
			panic(http.ErrAbortHandler)
		}
		if req.Context().Err() != nil || !en.isRingComplete() {
			panic(http.ErrAbortHandler)
		}
		writeChunk(w, chat, Token(prompt, i), i == total-1)
		flusher.Flush()
	}
	en.mu.Lock()
	en.completed++
	truncate := en.faults.Truncate
	en.faults.Truncate = false
	en.mu.Unlock()
	if truncate {
		return
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n",
		len(prompt)/4, total, len(prompt)/4+total)
}

// writeChunk writes one token as an event of a chat or a text completion.
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

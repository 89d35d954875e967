package caller

import (
	"encoding/json"
	"net/http"

	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// answerWriter gives a completion to the caller: as a stream or at once.
type answerWriter interface {
	// chunk passes a chunk on.
	chunk(ch endpoint.Chunk) error
	// done ends a whole answer.
	done(co *completion) error
	// fail ends an answer that is not whole. What it returns is what remains
	// to be told to the caller.
	fail(ve *verdict.Error) error
}

func newWriter(co *completion) answerWriter {
	if !co.stream {
		return &wholeWriter{w: co.ex.w}
	}
	return &streamWriter{co: co, rc: http.NewResponseController(co.ex.w)}
}

// wholeWriter answers once the completion is whole.
type wholeWriter struct{ w http.ResponseWriter }

func (*wholeWriter) chunk(endpoint.Chunk) error { return nil }

func (ww *wholeWriter) done(co *completion) error {
	writeJSON(ww.w, http.StatusOK, co.whole())
	return nil
}

func (*wholeWriter) fail(ve *verdict.Error) error { return ve }

// message is the text of a chat answer.
type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is one choice of an answer or of a chunk.
type choice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Text    *string  `json:"text,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// body is an answer or a chunk in the OpenAI form.
type body struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

func (co *completion) head(object string) body {
	name := co.model
	if co.adapter != "" {
		name += ":" + co.adapter
	}
	return body{ID: co.ex.id, Object: object, Created: co.ex.record.Begin.Unix(), Model: name}
}

// whole is the answer as one body.
func (co *completion) whole() body {
	text := co.sent.String()
	if !co.chat {
		bo := co.head("text_completion")
		bo.Choices = []choice{{Text: &text, Finish: &co.finish}}
		bo.Usage = co.usage
		return bo
	}
	bo := co.head("chat.completion")
	bo.Choices = []choice{{Message: &message{Role: "assistant", Content: text}, Finish: &co.finish}}
	bo.Usage = co.usage
	return bo
}

// streamWriter passes chunks on as server-sent events.
type streamWriter struct {
	co *completion
	rc *http.ResponseController
}

func (sw *streamWriter) chunk(ch endpoint.Chunk) error {
	bo := sw.co.head("text_completion")
	cc := choice{Text: &ch.Text}
	if sw.co.chat {
		bo = sw.co.head("chat.completion.chunk")
		cc = choice{Delta: &message{Content: ch.Text}}
		if !sw.co.ex.begun {
			cc.Delta.Role = "assistant"
		}
	}
	if ch.FinishReason != "" {
		cc.Finish = &ch.FinishReason
	}
	bo.Choices = []choice{cc}
	return sw.event(bo)
}

func (sw *streamWriter) event(val any) error {
	raw, err := json.Marshal(val)
	if err != nil {
		return err
	}
	return sw.write(string(raw))
}

func (sw *streamWriter) write(data string) error {
	w := sw.co.ex.w
	if !sw.co.ex.begun {
		sw.co.ex.begun = true
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(http.StatusOK)
	}
	if _, err := w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return callerGone(err)
	}
	if err := sw.rc.Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

func callerGone(err error) error {
	return &verdict.Error{Code: verdict.CodeCallerGone, Verdict: verdict.MayHaveRun, Message: "the caller is gone", Cause: err}
}

func (sw *streamWriter) done(co *completion) error {
	if len(co.usage) > 0 {
		bo := co.head("chat.completion.chunk")
		bo.Choices = []choice{}
		bo.Usage = co.usage
		if err := sw.event(bo); err != nil {
			return err
		}
	}
	return sw.write("[DONE]")
}

// fail tells the caller within the stream. Its connection is broken off
// afterwards: without the terminator no client takes the answer for whole,
// and one that doesn't look for it sees the transfer cut.
func (sw *streamWriter) fail(ve *verdict.Error) error {
	if sw.co.ex.begun {
		// A failure to write leaves the caller with the broken transfer.
		_ = sw.event(errorBody(sw.co.ex.id, ve))
	}
	return ve
}

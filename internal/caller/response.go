package caller

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/internal/stop"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// writeTimeout bounds a write to a caller that doesn't read.
const writeTimeout = 5 * time.Second

// writeChunkBytes is how many bytes of a body a caller has to read within writeTimeout.
const writeChunkBytes = 64 << 10

// writeBody writes a body. It fails only if the caller has disconnected or stops reading; there is no one
// to report it to.
func writeBody(w http.ResponseWriter, body []byte) {
	rc := http.NewResponseController(w)
	for chunk := range slices.Chunk(body, writeChunkBytes) {
		_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// completionWriter writes a completion to the caller, as a stream or as one
// body.
type completionWriter interface {
	// writeChunk writes a chunk of the response.
	writeChunk(ch endpoint.Chunk) error
	// finish ends a complete response.
	finish(co *completion) error
	// fail ends an incomplete response. It returns the error that still has to
	// be reported to the caller.
	fail(ve *verdict.Error) error
}

func newCompletionWriter(co *completion) completionWriter {
	if !co.stream {
		return &bufferedWriter{w: co.ex.w}
	}
	return &streamWriter{co: co, rc: http.NewResponseController(co.ex.w)}
}

// bufferedWriter writes the response once the completion is complete.
type bufferedWriter struct{ w http.ResponseWriter }

func (*bufferedWriter) writeChunk(endpoint.Chunk) error { return nil }

func (bw *bufferedWriter) finish(co *completion) error {
	writeJSON(bw.w, http.StatusOK, co.responseBody())
	return nil
}

func (*bufferedWriter) fail(ve *verdict.Error) error { return ve }

// message is a message of a chat response.
type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is one choice of a response or of a chunk.
type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// completionBody is a response or a chunk in the format of the OpenAI API.
type completionBody struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// newBody returns a body with the fields common to responses and chunks.
func (co *completion) newBody(object string) completionBody {
	name := co.model
	if co.adapter != "" {
		name += ":" + co.adapter
	}
	return completionBody{ID: co.ex.id, Object: object, Created: co.ex.record.Begin.Unix(), Model: name}
}

// responseBody returns the complete response as one body.
func (co *completion) responseBody() completionBody {
	text := co.sentText.String()
	if !co.chat {
		bo := co.newBody("text_completion")
		bo.Choices = []choice{{Text: &text, FinishReason: &co.finishReason}}
		bo.Usage = co.usage
		return bo
	}
	bo := co.newBody("chat.completion")
	bo.Choices = []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &co.finishReason}}
	bo.Usage = co.usage
	return bo
}

// streamWriter writes chunks as server-sent events.
type streamWriter struct {
	co *completion
	rc *http.ResponseController
}

func (sw *streamWriter) writeChunk(ch endpoint.Chunk) error {
	bo := sw.co.newBody("text_completion")
	cc := choice{Text: &ch.Text}
	if sw.co.chat {
		bo = sw.co.newBody("chat.completion.chunk")
		cc = choice{Delta: &message{Content: ch.Text}}
		if !sw.co.ex.headerWritten {
			cc.Delta.Role = "assistant"
		}
	}
	if ch.FinishReason != "" {
		cc.FinishReason = &ch.FinishReason
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
	if !sw.co.ex.headerWritten {
		if !sw.co.ex.stop.BeginResponse() {
			return &verdict.Error{Code: verdict.CodeDeadline, Verdict: verdict.MayHaveRun, Message: "the daemon stops", Cause: stop.ErrStopping}
		}
		sw.co.ex.headerWritten = true
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(http.StatusOK)
	}
	_ = sw.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
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

func (sw *streamWriter) finish(co *completion) error {
	if len(co.usage) > 0 {
		bo := co.newBody("chat.completion.chunk")
		bo.Choices = []choice{}
		bo.Usage = co.usage
		if err := sw.event(bo); err != nil {
			return err
		}
	}
	return sw.write("[DONE]")
}

// fail sends the error as an event of the stream. The connection is aborted
// afterwards, without the terminator [DONE]: no client that expects it takes the
// response for complete, and other clients see a truncated transfer.
func (sw *streamWriter) fail(ve *verdict.Error) error {
	if sw.co.ex.headerWritten {
		// If this write fails, the caller still sees the aborted connection.
		_ = sw.event(errorBody(sw.co.ex.id, ve))
	}
	return ve
}

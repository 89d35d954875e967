package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// CompletionRequest is one attempt to have a group complete a request.
type CompletionRequest struct {
	RequestID string
	Address   string
	Group     string
	Fence     uint64
	// Path is the engine's path, for example /v1/chat/completions.
	Path string
	// Body is the JSON request, with streaming enabled.
	Body []byte
	// BeforeSend is called right before the request is sent. If it returns an error, the
	// request is not sent.
	BeforeSend func() *verdict.Error
}

// Chunk is one event of a completion stream.
type Chunk struct {
	// Text is the generated text.
	Text string
	// FinishReason is the engine's finish reason. It is set in the last chunk with text.
	FinishReason string
	// Usage is the engine's token usage as raw JSON, if the chunk contains it.
	Usage json.RawMessage
	// KeepAlive is set for a comment of the engine, which contains nothing else.
	KeepAlive bool
}

// streamTerminator is the last event of every complete stream. A stream without it is
// truncated, even if the connection was closed cleanly.
const streamTerminator = "[DONE]"

const maxLineBytes = 1 << 20

// maxRefusalBytes bounds the text of a refusal that is passed on.
const maxRefusalBytes = 4 << 10

// chunkBody is the JSON form of a chunk, for chat and text completions.
type chunkBody struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage  `json:"usage"`
	Error *json.RawMessage `json:"error"`
}

// EngineClient sends completion requests to the leaders of groups.
type EngineClient struct {
	Transport http.RoundTripper
}

// Complete sends the request and calls emit for each chunk in order. It returns nil only after
// the stream's terminator. An error from emit ends the attempt and is returned unchanged. Only ctx
// limits how long the engine may send nothing.
func (es EngineClient) Complete(ctx context.Context, co CompletionRequest, emit func(Chunk) error) error {
	at := newAttempt(ctx)
	defer at.cancel()
	req, err := http.NewRequestWithContext(at.ctx, http.MethodPost, "http://"+co.Address+co.Path, bytes.NewReader(co.Body))
	if err != nil {
		return at.newError(verdict.CodeBadRequest, "the request could not be made", err)
	}
	// Without GetBody the transport cannot retry the request by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, co.RequestID)
	req.Header.Set(HeaderGroup, co.Group)
	req.Header.Set(HeaderFence, strconv.FormatUint(co.Fence, 10))
	if ve := co.BeforeSend(); ve != nil {
		return ve
	}
	rsp, err := es.Transport.RoundTrip(req)
	if err != nil {
		return at.newError(verdict.CodeEndpointFailed, "the engine did not answer", err)
	}
	defer rsp.Body.Close()
	if ve := checkResponse(rsp, co.RequestID); ve != nil {
		return ve
	}
	return at.readStream(rsp.Body, emit)
}

// checkResponse returns an error unless the response is a success response to this request.
func checkResponse(rsp *http.Response, requestID string) error {
	if err := checkHead(rsp); err != nil {
		return err
	}
	if ve := refusalError(rsp); ve != nil {
		return ve
	}
	if got := rsp.Header.Get(HeaderRequestID); got != requestID {
		return &verdict.Error{Code: verdict.CodeForeignAnswer, Verdict: verdict.MayHaveRun,
			Message: "the engine answered request " + strconv.Quote(http1.Excerpt(got))}
	}
	if rsp.StatusCode >= http.StatusInternalServerError {
		return &verdict.Error{Code: verdict.CodeEndpointFailed, Verdict: verdict.MayHaveRun,
			Message: "the engine failed with status " + strconv.Itoa(rsp.StatusCode)}
	}
	if rsp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(rsp.Body, maxRefusalBytes))
		return &verdict.Error{Code: verdict.CodeBadRequest, Verdict: verdict.NotRun, Message: "the engine refused: " + string(raw)}
	}
	return nil
}

func (at *attempt) readStream(body io.Reader, emit func(Chunk) error) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), ":") {
			if err := emit(Chunk{KeepAlive: true}); err != nil {
				return err
			}
			continue
		}
		data, ok := strings.CutPrefix(sc.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == streamTerminator {
			return nil
		}
		ch, err := parseChunk(data)
		var ve *verdict.Error
		if errors.As(err, &ve) {
			return ve
		}
		if err != nil {
			return at.newError(verdict.CodeBrokenAnswer, "the engine sent a broken chunk", err)
		}
		if err := emit(ch); err != nil {
			return err
		}
	}
	return at.newError(verdict.CodeBrokenAnswer, "the stream ended without its terminator", sc.Err())
}

// errorEventCode returns the code of an error that an engine reports in its stream. Engines state the
// HTTP status that they would have answered; with a client error every other group refuses the request
// too.
func errorEventCode(raw json.RawMessage) verdict.Code {
	var body struct {
		Code json.Number `json:"code"`
	}
	if json.Unmarshal(raw, &body) != nil {
		return verdict.CodeEndpointFailed
	}
	switch status, _ := strconv.Atoi(body.Code.String()); {
	case status == http.StatusRequestTimeout, status == http.StatusTooManyRequests:
		return verdict.CodeEndpointFailed
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return verdict.CodeBadRequest
	}
	return verdict.CodeEndpointFailed
}

// parseChunk decodes an event. It returns a *verdict.Error if the engine reports an error in it.
func parseChunk(data string) (Chunk, error) {
	var cb chunkBody
	if err := json.Unmarshal([]byte(data), &cb); err != nil {
		return Chunk{}, err
	}
	if cb.Error != nil {
		return Chunk{}, &verdict.Error{Code: errorEventCode(*cb.Error), Verdict: verdict.MayHaveRun, Message: string(*cb.Error)}
	}
	ch := Chunk{Usage: cb.Usage}
	if len(cb.Choices) > 0 {
		ch.Text = cb.Choices[0].Text + cb.Choices[0].Delta.Content
		ch.FinishReason = cb.Choices[0].FinishReason
	}
	return ch, nil
}

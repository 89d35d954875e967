package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Completion is one attempt to have a group complete a request.
type CompletionRequest struct {
	RequestID string
	Address   string
	Group     string
	Fence     uint64
	// Path is the engine's path, for example /v1/chat/completions.
	Path string
	// Body is the whole JSON request, with streaming asked for.
	Body []byte
	// Stall is how long the engine may go without sending anything.
	StallTimeout time.Duration
	// Before is called right before the request is sent and may refuse it.
	BeforeSend func() *verdict.Error
}

// Chunk is one event of a completion's stream.
type Chunk struct {
	// Text is the generated text.
	Text string
	// Finish is the finish reason, in the last chunk of text.
	FinishReason string
	// Usage is the engine's account, if the chunk has one.
	Usage json.RawMessage
}

// doneMark ends every whole stream. A stream without it was cut off, however
// cleanly the connection closed.
const doneMark = "[DONE]"

const maxLineBytes = 1 << 20

// chunkBody is the engine's form of a chunk, for chat and plain completions.
type chunkBody struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// Engines sends completions to groups' leaders.
type EngineClient struct {
	Transport http.RoundTripper
}

// Complete sends the request and calls emit for each chunk in order. It
// returns nil only after the stream's terminator. An error of emit ends the
// attempt and is returned as it is.
func (es EngineClient) Complete(ctx context.Context, co CompletionRequest, emit func(Chunk) error) error {
	at := newAttempt(ctx, co.StallTimeout)
	defer at.end()
	req, err := http.NewRequestWithContext(at.ctx, http.MethodPost, "http://"+co.Address+co.Path, bytes.NewReader(co.Body))
	if err != nil {
		return at.fail(verdict.CodeBadRequest, "the request could not be made", err)
	}
	// Without GetBody the transport cannot replay the request by itself.
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
		return at.fail(verdict.CodeEndpointFailed, "the engine did not answer", err)
	}
	defer rsp.Body.Close()
	if ve := checkAnswer(rsp, co.RequestID); ve != nil {
		return ve
	}
	return at.read(rsp.Body, co.StallTimeout, emit)
}

// checkAnswer refuses what is not the answer to this very request.
func checkAnswer(rsp *http.Response, requestID string) error {
	if ve := refusal(rsp); ve != nil {
		return ve
	}
	if got := rsp.Header.Get(HeaderRequestID); got != requestID {
		return &verdict.Error{Code: verdict.CodeForeignAnswer, Verdict: verdict.MayHaveRun,
			Message: "the engine answered request " + strconv.Quote(got)}
	}
	if rsp.StatusCode >= http.StatusInternalServerError {
		return &verdict.Error{Code: verdict.CodeEndpointFailed, Verdict: verdict.MayHaveRun,
			Message: "the engine failed with status " + strconv.Itoa(rsp.StatusCode)}
	}
	if rsp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(rsp.Body, maxLineBytes))
		return &verdict.Error{Code: verdict.CodeBadRequest, Verdict: verdict.NotRun, Message: "the engine refused: " + string(raw)}
	}
	return nil
}

func (at *attempt) read(body io.Reader, stall time.Duration, emit func(Chunk) error) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for sc.Scan() {
		at.progress(stall)
		data, ok := strings.CutPrefix(sc.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == doneMark {
			return nil
		}
		ch, err := parseChunk(data)
		if err != nil {
			return at.fail(verdict.CodeBrokenAnswer, "the engine sent a broken chunk", err)
		}
		if err := emit(ch); err != nil {
			return err
		}
	}
	return at.fail(verdict.CodeBrokenAnswer, "the stream ended without its terminator", sc.Err())
}

func parseChunk(data string) (Chunk, error) {
	var cb chunkBody
	if err := json.Unmarshal([]byte(data), &cb); err != nil {
		return Chunk{}, err
	}
	if len(cb.Error) > 0 {
		return Chunk{}, &verdict.Error{Code: verdict.CodeEndpointFailed, Verdict: verdict.MayHaveRun, Message: string(cb.Error)}
	}
	ch := Chunk{Usage: cb.Usage}
	if len(cb.Choices) > 0 {
		ch.Text = cb.Choices[0].Text + cb.Choices[0].Delta.Content
		ch.FinishReason = cb.Choices[0].FinishReason
	}
	return ch, nil
}

package hub

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is the request for a streamed chat completion.
type Chat struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

const (
	chatPath = "/v1/chat/completions"
	// doneMarker is the data of the last event of a complete stream.
	doneMarker = "[DONE]"
	// maxLineBytes bounds one line of the stream.
	maxLineBytes = 1 << 20
)

// Stream requests a chat completion and calls token for each piece of text. It returns
// nil only if the response is complete. A failure before the first piece is retried at
// another daemon. A later one is returned, because the response to a second request
// need not continue the text that token has received. The error is a *verdict.Error.
func (cl *Client) Stream(ctx context.Context, ch Chat, token func(text string)) error {
	body, err := json.Marshal(struct {
		Chat
		Stream bool `json:"stream"`
	}{ch, true})
	if err != nil {
		return &verdict.Error{Code: verdict.CodeBadRequest, Verdict: verdict.NotRun, Message: err.Error()}
	}
	delivered := false
	ca := Call{Method: http.MethodPost, Path: chatPath, Body: body, repeatable: true}
	return cl.retry(ctx, ca, func(rsp *http.Response) error {
		err := readStream(rsp, func(text string) {
			delivered = true
			token(text)
		})
		if err != nil && delivered {
			return &verdict.Error{Code: verdict.CodeBrokenAnswer, Verdict: verdict.MayHaveRun, Message: "the stream broke off", Cause: err}
		}
		return err
	}, func() bool { return delivered })
}

// readStream reads server-sent events up to the done marker and calls token for each
// non-empty piece of text. A stream that ends without the marker is a broken answer.
func readStream(rsp *http.Response, token func(string)) error {
	sc := bufio.NewScanner(rsp.Body)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneMarker {
			return nil
		}
		var chunk struct {
			Choices []struct {
				Delta Message `json:"delta"`
			} `json:"choices"`
			Error *ErrorDetail `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return brokenAnswer(err)
		}
		if chunk.Error != nil {
			return &verdict.Error{Code: chunk.Error.Code, Verdict: chunk.Error.Verdict, Message: chunk.Error.Message,
				RetryAfter: time.Duration(chunk.Error.RetryAfterMS) * time.Millisecond}
		}
		for _, cc := range chunk.Choices {
			if cc.Delta.Content != "" {
				token(cc.Delta.Content)
			}
		}
	}
	return brokenAnswer(sc.Err())
}

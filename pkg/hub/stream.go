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

// Chat is a chat completion to be streamed.
type Chat struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

const (
	chatPath     = "/v1/chat/completions"
	doneMark     = "[DONE]"
	maxLineBytes = 1 << 20
)

// Stream sends a chat completion and calls token for each piece of text. It
// returns nil only when the answer is whole. A failure before the first piece
// is retried through another daemon; one in the middle is returned, since a
// new answer need not continue the text that was given.
func (cl *Client) Stream(ctx context.Context, ch Chat, token func(text string)) error {
	body, err := json.Marshal(struct {
		Chat
		Stream bool `json:"stream"`
	}{ch, true})
	if err != nil {
		return &verdict.Error{Code: verdict.CodeBadRequest, Verdict: verdict.NotRun, Message: err.Error()}
	}
	given := false
	ca := Call{Method: http.MethodPost, Path: chatPath, Body: body, repeatable: true}
	return cl.retry(ctx, ca, func(rsp *http.Response) error {
		err := readStream(rsp, func(text string) {
			given = true
			token(text)
		})
		if err != nil && given {
			return &verdict.Error{Code: verdict.CodeBrokenAnswer, Verdict: verdict.MayHaveRun, Message: "the stream broke off", Cause: err}
		}
		return err
	}, func() bool { return given })
}

func readStream(rsp *http.Response, token func(string)) error {
	sc := bufio.NewScanner(rsp.Body)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneMark {
			return nil
		}
		var chunk struct {
			Choices []struct {
				Delta Message `json:"delta"`
			} `json:"choices"`
			Error *ErrorDetail `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return broken(err)
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
	return broken(sc.Err())
}

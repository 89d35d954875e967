package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// Guards the compatibility with the OpenAI API: an unmodified client library
// gets plain and streamed responses, the list of models, and its usual errors.
func TestUnmodifiedOpenAIClient(t *testing.T) {
	sk := newTestSystem(t, systemSize{daemons: 1, vms: 2, vmsPerGroup: 2, replicas: 1})
	cl := openai.NewClient(option.WithBaseURL("http://"+sk.caller(0)+"/v1"), option.WithAPIKey(workspaceKey))
	params := openai.ChatCompletionNewParams{
		Model:     "linden",
		MaxTokens: openai.Int(8),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
	t.Run("plain", func(t *testing.T) {
		an, err := cl.Chat.Completions.New(context.Background(), params)
		if err != nil {
			t.Fatal(err)
		}
		if got := an.Choices[0].Message.Content; got != expectedText(8) || an.Choices[0].FinishReason != "stop" {
			t.Errorf("response = %q (%s), want %q", got, an.Choices[0].FinishReason, expectedText(8))
		}
		if an.Usage.CompletionTokens != 8 {
			t.Errorf("usage = %d tokens, want 8", an.Usage.CompletionTokens)
		}
	})
	t.Run("streamed", func(t *testing.T) {
		st := cl.Chat.Completions.NewStreaming(context.Background(), params)
		var text strings.Builder
		for st.Next() {
			for _, cc := range st.Current().Choices {
				text.WriteString(cc.Delta.Content)
			}
		}
		if err := st.Err(); err != nil {
			t.Fatal(err)
		}
		if text.String() != expectedText(8) {
			t.Errorf("response = %q, want %q", text.String(), expectedText(8))
		}
	})
	t.Run("wrong key", func(t *testing.T) {
		other := openai.NewClient(option.WithBaseURL("http://"+sk.caller(0)+"/v1"), option.WithAPIKey("wrong"), option.WithMaxRetries(0))
		_, err := other.Chat.Completions.New(context.Background(), params)
		if err == nil || !strings.Contains(err.Error(), "401") {
			t.Errorf("error = %v, want 401", err)
		}
	})
	t.Run("models", func(t *testing.T) {
		page, err := cl.Models.List(context.Background())
		if err != nil || len(page.Data) != 1 || page.Data[0].ID != "linden" {
			t.Errorf("models = %+v, %v; want linden", page, err)
		}
	})
	t.Run("a limit of no tokens", func(t *testing.T) {
		for _, key := range []string{"max_tokens", "max_completion_tokens"} {
			body := fmt.Sprintf(`{"model":"linden","messages":[{"role":"user","content":"hello"}],%q:0}`, key)
			rsp, raw, err := sk.post(0, "/v1/chat/completions", body, nil)
			if err != nil {
				t.Fatal(err)
			}
			if rsp.StatusCode != http.StatusBadRequest {
				t.Errorf("%s 0: status = %d, want %d: %s", key, rsp.StatusCode, http.StatusBadRequest, raw)
			}
		}
	})
}

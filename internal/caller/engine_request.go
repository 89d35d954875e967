package caller

import (
	"encoding/json"
	"strconv"
)

// engineRequest returns the request body for the engine. It always requests a
// stream, since only a flow of tokens shows progress. When a response is
// resumed, the text already sent is appended as a partial message of the
// assistant.
func (co *completion) engineRequest() ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(co.fields)+3)
	for key, raw := range co.fields {
		fields[key] = raw
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if co.sentTokens == 0 {
		return json.Marshal(fields)
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return nil, err
	}
	partial, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", co.sentText.String()})
	if err != nil {
		return nil, err
	}
	fields["messages"], err = json.Marshal(append(messages, partial))
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	if co.maxTokens > 0 {
		delete(fields, "max_completion_tokens")
		fields["max_tokens"] = json.RawMessage(strconv.Itoa(max(1, co.maxTokens-co.sentTokens)))
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

package front

import (
	"net/http"
	"testing"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against callers without an answer, and against requests lost at a server that sends without end.
func TestEndlessPlainServer(t *testing.T) {
	for name, fault := range map[string]emulator.Fault{"status line": emulator.EndlessStatusLine, "value": emulator.EndlessValue, "fields": emulator.EndlessFields,
		"garbage": emulator.EndlessGarbage, "body": emulator.EndlessBody, "chunks": emulator.EndlessChunks} {
		t.Run(name, func(t *testing.T) {
			ri := newRig(t)
			ri.front.Pool.MaxBytes = 4 << 20
			ri.addPlain(always(fault))
			if re := ri.send("/confirm/x", "unsafe", nil); re.status != http.StatusBadGateway {
				t.Errorf("got status %d, error %v, want %d", re.status, re.err, http.StatusBadGateway)
			}
			ri.addPlain(nil)
			for _, id := range []string{"first", "second"} {
				if re := ri.send("/slot/x", id, nil); re.status != http.StatusOK || re.body != emulator.Body(id) {
					t.Errorf("%s: got status %d, error %v, want %d", id, re.status, re.err, http.StatusOK)
				}
			}
			if num := ri.runs("second"); num != 1 {
				t.Errorf("the second request ran %d times, want 1 at the other server", num)
			}
		})
	}
}

// Guards against a stream that hangs at a group that sends an event, or the same one, without end.
func TestEndlessStream(t *testing.T) {
	for name, fault := range map[string]emulator.Fault{"event": emulator.EndlessEvent, "duplicates": emulator.EndlessDuplicates} {
		t.Run(name, func(t *testing.T) {
			ri := newRig(t)
			first := failFirst(fault)
			ri.addGroup(first)
			ri.addGroup(first)
			if re := ri.send("/draft/x", "id", setTokenCounts); re.status != http.StatusOK || re.body != completeStream("id") {
				t.Errorf("got status %d, error %v, %d bytes, want the complete stream", re.status, re.err, len(re.body))
			}
		})
	}
}

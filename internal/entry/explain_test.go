package entry

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/internal/explain"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against an explanation that leaves out why a request failed. For an injected
// fault, the explanation built from the request ID and the daemons' logs must name the
// cause.
func TestExplainNamesCause(t *testing.T) {
	tests := []struct {
		name string
		// fail makes the request fail and returns the texts that the explanation must contain.
		fail func(sk *stack, id string) []string
	}{
		{"refused since a group's members were lost", func(sk *stack, id string) []string {
			for _, vm := range sk.de.Fleet.IDs() {
				sk.de.Kill(vm)
				sk.de.Deregister(vm)
			}
			sk.until("no group serves", func() bool {
				log := sk.log.String()
				last := log[strings.LastIndex(log, "view published"):]
				return sk.members(sk.daemons[0]) == 0 && strings.Contains(last, " serving=0 ")
			})
			if got := sk.send(sk.daemons[0], "/draft/", id); got != "status 503" {
				sk.t.Fatalf("response: got %q, want status 503", got)
			}
			return []string{"end: refused, no-group", "steward counted 0 groups that served"}
		}},
		{"a stream broken off by its group and all others", func(sk *stack, id string) []string {
			for _, vm := range sk.de.Fleet.IDs() {
				sk.de.Server(vm).SetFault(func(req *http.Request) emulator.Fault {
					if req.Header.Get(platform.HeaderRequestID) == id {
						return emulator.Truncates
					}
					return emulator.None
				})
			}
			if got := sk.send(sk.daemons[0], "/draft/", id); got == completeStream(id) {
				sk.t.Fatal("the stream is complete despite the fault")
			}
			return []string{"end: broken", "an attempt failed: "}
		}},
		{"an answer lost of a request that must not repeat", func(sk *stack, id string) []string {
			for _, endpoint := range sk.de.IDs("desk") {
				sk.de.Server(endpoint).SetFault(func(req *http.Request) emulator.Fault {
					if req.Header.Get(platform.HeaderRequestID) == id {
						return emulator.DropsResponse
					}
					return emulator.None
				})
			}
			if got := sk.send(sk.daemons[0], "/confirm/", id); got != "status 502" {
				sk.t.Fatalf("response: got %q, want status 502", got)
			}
			return []string{"end: refused, answer-lost", "an attempt failed: may-have-run"}
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			sk := newStack(t, 2)
			const id = "complaint"
			want := tc.fail(sk, id)
			var output bytes.Buffer
			sk.until("the explanation contains the cause", func() bool {
				lines, skipped, err := explain.Read("log", strings.NewReader(sk.log.String()))
				if err != nil || skipped > 0 {
					t.Fatalf("%d lines skipped, error %v", skipped, err)
				}
				explain.Sort(lines)
				output.Reset()
				if err := explain.Print(&output, explain.RequestLines(lines, id), id); err != nil {
					t.Fatal(err)
				}
				for _, text := range want {
					if !strings.Contains(output.String(), text) {
						return false
					}
				}
				return true
			})
			t.Log(output.String())
		})
	}
}

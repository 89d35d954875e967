package admin

import (
	"context"
	"errors"
	"testing"

	"corianderhub.dev/corianderhub/internal/servertest"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Guards against a malformed response that is taken for the success of a command, which may be in force.
func TestMalformedResponse(t *testing.T) {
	servertest.TestClient(t, "", `{"revision":1}`, func(addr string) error {
		_, err := (&Client{Address: addr}).Apply(context.Background(), Apply{Operation: "op"})
		var re *Refusal
		if err != nil && (!errors.As(err, &re) || re.Verdict != verdict.MayHaveRun) {
			t.Errorf("got error %v, want one with the verdict may-have-run", err)
		}
		return err
	})
}

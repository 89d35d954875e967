package standin

import (
	"errors"
	"testing"

	"corianderhub.dev/corianderhub/internal/servertest"
)

// Guards against a malformed response of the platform that is taken for the grant of weights.
func TestMalformedGrant(t *testing.T) {
	servertest.TestClient(t, "", "granted", func(addr string) error {
		if !(&Engine{Platform: addr}).grantsWeights("large", "1") {
			return errors.New("not granted")
		}
		return nil
	})
}

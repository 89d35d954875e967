package platform

import (
	"testing"

	"corianderhub.dev/corianderhub/internal/servertest"
)

// Guards against a malformed response of the platform that is taken for the list of VMs.
func TestMalformedListOfVMs(t *testing.T) {
	servertest.TestClient(t, "", "[     ]", func(addr string) error {
		_, err := (&Client{Address: addr}).VMs(t.Context(), "gent")
		return err
	})
}

package soak

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against a run that never ends, because a change of the configuration and the start of a
// server wait for each other.
func TestConfigureWhileServerStarts(t *testing.T) {
	so := &Soak{ctx: t.Context(), serverTCPProxies: make(map[string]*Proxy)}
	configured := make(chan struct{}, 1)
	so.deployment = &emulator.Deployment{ModelServers: 1, Proxy: func(id, addr string) (string, error) {
		go func() {
			so.configure()
			configured <- struct{}{}
		}()
		time.Sleep(100 * time.Millisecond) // The change waits for the deployment.
		return so.proxyServer(id, addr)
	}}
	go func() {
		if err := so.deployment.Start(t.Context()); err != nil {
			t.Error(err)
		}
	}()
	select {
	case <-configured:
	case <-time.After(10 * time.Second):
		t.Fatal("the configuration and the server wait for each other")
	}
}

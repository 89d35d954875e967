package front

import (
	"sync"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// maxLogged limits the number of instances that a loggedOnce remembers.
const maxLogged = 4096

// loggedOnce holds the instances for which a fault was logged. It is safe for concurrent use.
type loggedOnce struct {
	mu        sync.Mutex
	instances map[catalog.Instance]bool
}

// add adds an instance and reports whether it is new. When there are too many, it forgets all.
func (lo *loggedOnce) add(li catalog.Instance) bool {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if lo.instances[li] {
		return false
	}
	if lo.instances == nil || len(lo.instances) >= maxLogged {
		lo.instances = make(map[catalog.Instance]bool)
	}
	lo.instances[li] = true
	return true
}

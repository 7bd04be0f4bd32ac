package pumicecroft

import (
	"fmt"
	"sync"
)

// Deployment is a set of front doors in one process that share backends and quotas. Each of its Doors has a
// number of its own (Settings.Me), as its part of every quota hangs on it: two Doors of one number would each
// take the same part. The zero value is ready, and a Deployment is safe for concurrent use. Doors in different
// processes cannot see each other; there the operator hands out the numbers.
type Deployment struct {
	mu           sync.Mutex
	gatewayCount int // of all settings, once there is one
	claimed      map[int]bool
}

// claim takes a number for a Door until release.
func (p *Deployment) claim(me, doors int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.claimed) > 0 && p.gatewayCount != doors {
		return fmt.Errorf("%w: %d front doors, others of the deployment count %d", ErrConfig, doors, p.gatewayCount)
	}
	if p.claimed[me] {
		return fmt.Errorf("%w: %d", ErrGatewayIndexTaken, me)
	}
	if p.claimed == nil {
		p.claimed = map[int]bool{}
	}
	p.claimed[me], p.gatewayCount = true, doors
	return nil
}

func (p *Deployment) release(me int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.claimed, me)
}

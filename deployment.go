package pumicecroft

import (
	"fmt"
	"sync"
)

// Deployment is a set of gateways in one process that share backends and quotas. Each has an index of its own
// (Settings.GatewayIndex), which its share of every quota depends on: two gateways of one index would each take the
// same share. The zero value is ready, and a Deployment is safe for concurrent use. Gateways in different processes
// do not know of each other; there the operator assigns the indexes.
type Deployment struct {
	mu           sync.Mutex
	gatewayCount int // of all settings, once an index is claimed
	claimed      map[int]bool
}

// claim takes an index for a Gateway until release. The error is an ErrConfig or an ErrGatewayIndexTaken.
func (d *Deployment) claim(index, count int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.claimed) > 0 && d.gatewayCount != count {
		return fmt.Errorf("%w: GatewayCount is %d, and %d in others of the deployment",
			ErrConfig, count, d.gatewayCount)
	}
	if d.claimed[index] {
		return fmt.Errorf("%w: %d", ErrGatewayIndexTaken, index)
	}
	if d.claimed == nil {
		d.claimed = map[int]bool{}
	}
	d.claimed[index], d.gatewayCount = true, count
	return nil
}

func (d *Deployment) release(index int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.claimed, index)
}

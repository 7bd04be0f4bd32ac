package pumicecroft

import (
	"fmt"
	"sync"
)

// Deployment is a set of gateways in one process that share backends and quotas. Each has its own index
// (Settings.GatewayIndex), which determines its share of every quota: two gateways with the same index would both
// use the same share. The zero value is ready to use, and a Deployment is safe for concurrent use. It cannot check
// gateways in other processes; their indexes are assigned by the operator.
type Deployment struct {
	mu           sync.Mutex
	gatewayCount int // Settings.GatewayCount of all gateways; valid while an index is claimed
	claimed      map[int]bool
}

// claim reserves an index for a Gateway until release. The error is an ErrConfig or an ErrGatewayIndexTaken.
func (d *Deployment) claim(index, count int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.claimed) > 0 && d.gatewayCount != count {
		return fmt.Errorf("%w: GatewayCount is %d, but %d in the other gateways of the deployment",
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

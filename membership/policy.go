package membership

import (
	"cmp"
	"time"
)

// Policy says how reports are weighed. A zero field takes its default.
type Policy struct {
	// ProbationMin, ProbationMax and ProbationReset bound probation. A node that was out and reports ready
	// is taken back after it has been ready for ProbationMin, doubled for each recent outage up to
	// ProbationMax. One outage is forgotten for each ProbationReset of good health.
	ProbationMin   time.Duration // default 1 s
	ProbationMax   time.Duration // default 1 min
	ProbationReset time.Duration // default 1 min

	// WarmupWindow is how long after its start a node is shown as WarmingUp. It is only shown: the
	// decision engine has its own settings for slow start. Default 15 s.
	WarmupWindow time.Duration

	// MaxNodes limits the nodes that are kept, over all sources; more are skipped until others are
	// removed. As many tombstones are kept. Default DefaultMaxNodes.
	MaxNodes int

	// MassRemovalRatio and MassRemovalMin define a mass removal: a full update that lacks more than this
	// ratio of its source's nodes, and at least MassRemovalMin of them. It more often means that the
	// source has failed than that the nodes have. The missing nodes are kept until the source has
	// confirmed their absence for MassRemovalDelay, without failing meanwhile.
	MassRemovalRatio float64       // default 0.5
	MassRemovalMin   int           // default 3
	MassRemovalDelay time.Duration // default 1.5 s

	// FullRemovalDelay takes the place of MassRemovalDelay if the update is empty or its source was reset.
	// Nodes register again with an emptied catalog within minutes. Until then, a node that is really gone
	// costs an attempt that was provably not executed, while an empty table would fail every request.
	// Default 5 min.
	FullRemovalDelay time.Duration
}

// DefaultMaxNodes is the default of Policy.MaxNodes.
const DefaultMaxNodes = 20_000

const (
	defaultMinProbation     = time.Second
	defaultMaxProbation     = time.Minute
	defaultProbationReset   = time.Minute
	defaultWarmupWindow     = 15 * time.Second
	defaultMassRemovalRatio = 0.5
	defaultMassRemovalMin   = 3
	defaultMassRemovalDelay = 1500 * time.Millisecond
	defaultFullRemovalDelay = 5 * time.Minute
)

func (p Policy) withDefaults() Policy {
	return Policy{
		ProbationMin:     cmp.Or(max(0, p.ProbationMin), defaultMinProbation),
		ProbationMax:     cmp.Or(max(0, p.ProbationMax), defaultMaxProbation),
		ProbationReset:   cmp.Or(max(0, p.ProbationReset), defaultProbationReset),
		WarmupWindow:     cmp.Or(max(0, p.WarmupWindow), defaultWarmupWindow),
		MaxNodes:         cmp.Or(max(0, p.MaxNodes), DefaultMaxNodes),
		MassRemovalRatio: cmp.Or(max(0, p.MassRemovalRatio), defaultMassRemovalRatio),
		MassRemovalMin:   cmp.Or(max(0, p.MassRemovalMin), defaultMassRemovalMin),
		MassRemovalDelay: cmp.Or(max(0, p.MassRemovalDelay), defaultMassRemovalDelay),
		FullRemovalDelay: cmp.Or(max(0, p.FullRemovalDelay), defaultFullRemovalDelay),
	}
}

package membership

import (
	"cmp"
	"time"
)

// Policy holds the settings of a Table. A field that is zero or negative takes its default.
type Policy struct {
	// ProbationMin, ProbationMax and ProbationReset control probation. The state of a node that was out of
	// service becomes Ready again after the node has been reported ready for ProbationMin, doubled for each
	// further recent outage up to ProbationMax. One outage is forgotten for each ProbationReset of
	// uninterrupted health.
	ProbationMin   time.Duration // default 1 s
	ProbationMax   time.Duration // default 1 min
	ProbationReset time.Duration // default 1 min

	// WarmupWindow is how long after its start a node is shown as WarmingUp. It affects only what is shown:
	// the decision engine has its own settings for slow start. Default 15 s.
	WarmupWindow time.Duration

	// MaxNodes limits the nodes that are kept, over all sources; further nodes are skipped until others are
	// removed. It limits tombstones, too. Default DefaultMaxNodes.
	MaxNodes int

	// MassRemovalRatio and MassRemovalMin define a mass removal: a full update that lacks more than this
	// ratio of its source's nodes, and at least MassRemovalMin of them. It more often means that the
	// source has failed than that the nodes have. The missing nodes are kept until the source has
	// confirmed their absence for MassRemovalDelay without failing in between.
	MassRemovalRatio float64       // default 0.5
	MassRemovalMin   int           // default 3
	MassRemovalDelay time.Duration // default 1.5 s

	// FullRemovalDelay replaces MassRemovalDelay if the update is empty or its source was reset: then all
	// nodes of the source may seem to be removed. (Any mass removal comes from an update with Full set.)
	// Nodes register again with an emptied catalog within minutes. Until then, a node that is really gone costs
	// one failed attempt that is safe to retry, as it was provably not executed, while an empty table would
	// fail every request. Default 5 min.
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

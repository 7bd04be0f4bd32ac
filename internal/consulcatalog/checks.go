package consulcatalog

import (
	"cmp"
	"strings"

	"pumicecroft/decision"
)

// Check is the state of one health check.
type Check struct{ ID, Status, Output string }

// The statuses of checks at which a node may be sent requests. Any other one means that it must not:
// critical, maintenance, and statuses that are not known.
const (
	statusPassing = "passing"
	statusWarning = "warning"
)

const (
	// maxNoteBytes limits what is kept of a check's output.
	maxNoteBytes = 160
	// maxWeight limits the weight of a node.
	maxWeight = 1e6
)

// evaluateChecks returns what the checks of an entry come to: the state, the weight and the reason.
func (c *Catalog) evaluateChecks(e Entry) (state decision.BackendState, weight float64, note string) {
	warning := ""
	for _, check := range e.Checks {
		note := check.note()
		switch check.Status {
		case statusPassing:
		case statusWarning:
			warning = cmp.Or(warning, note)
		default:
			return decision.Draining, validWeight(e.PassingWeight), note
		}
	}
	switch {
	case e.Maintenance:
		return decision.Draining, validWeight(e.PassingWeight), "maintenance"
	case warning == "":
		return decision.Ready, validWeight(e.PassingWeight), ""
	case c.mapping.ServeWarning:
		return decision.Ready, validWeight(e.WarningWeight), warning
	}
	return decision.Draining, validWeight(e.WarningWeight), warning
}

// note returns the check in words, of at most maxNoteBytes.
func (k Check) note() string {
	note := k.Status + ": " + k.ID
	if k.Output != "" {
		note += ": " + k.Output
	}
	if len(note) > maxNoteBytes {
		note = strings.ToValidUTF8(note[:maxNoteBytes], "")
	}
	return note
}

// validWeight returns a weight that is above 0 and at most maxWeight; anything else counts as 1.
func validWeight(weight float64) float64 {
	if !(weight > 0) { // nor is NaN
		return 1
	}
	return min(weight, maxWeight)
}

package consulcatalog

import (
	"cmp"
	"strings"

	"pumicecroft/decision"
)

// Check is the state of one health check.
type Check struct{ ID, Status, Output string }

// Check statuses in which a node may receive requests. In any other status it must not: critical, maintenance,
// and unknown statuses.
const (
	statusPassing = "passing"
	statusWarning = "warning"
)

const (
	// maxNoteBytes limits the length of a note, which includes the output of a check.
	maxNoteBytes = 160
	// maxWeight limits the weight of a node.
	maxWeight = 1e6
)

// evaluateChecks returns the state and weight of a node by the checks of its entry, and a note with the reason.
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

// note describes the check in at most maxNoteBytes.
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

// validWeight returns a weight limited to maxWeight, or 1 for a weight that is not above 0.
func validWeight(weight float64) float64 {
	if !(weight > 0) { // also true for NaN
		return 1
	}
	return min(weight, maxWeight)
}

package quota

const (
	// maxRejectedShare is the share of a class's requests that may be rejected as those of newcomers.
	maxRejectedShare = 0.4
	// priorAdmitted is a number of admitted requests that is added to the weighted number of requests, so that a
	// gateway that has just started may reject some of the first.
	priorAdmitted = 16
)

// ClassRejections limits the share of a class's requests that one gateway rejects because their customers are
// newcomers (see NewcomerStats), so that a class of low priority weight is served even if most customers are
// newcomers. The share is exponentially weighted. The zero value is ready to use.
type ClassRejections struct {
	requests, rejected float64 // weighted number of requests; of those rejected
}

// RecordRequest records a request of the class, whoever its customer is.
func (r *ClassRejections) RecordRequest() {
	const fade = 1 - 1.0/requestSamples
	r.requests = fade*r.requests + 1
	r.rejected *= fade
}

// TryReject reports whether the recorded request may be rejected, and counts it as rejected if so.
func (r *ClassRejections) TryReject() bool {
	if r.rejected+1 > maxRejectedShare*(r.requests+priorAdmitted) {
		return false
	}
	r.rejected++
	return true
}

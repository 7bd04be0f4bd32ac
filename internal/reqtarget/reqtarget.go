// Package reqtarget returns the target of a request as it was received, so that it is forwarded
// unchanged. The package is pure: it does no I/O.
package reqtarget

import (
	"net/http"
	"net/url"
	"strings"
)

// Of returns the path and query of a request as they were received. If the host application has changed
// the path since, as http.StripPrefix does, it returns the changed path, percent-encoded again, and the
// query.
func Of(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if path == r.URL.Path {
		return r.RequestURI
	}
	if decoded, err := url.PathUnescape(path); err == nil && decoded == r.URL.Path {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

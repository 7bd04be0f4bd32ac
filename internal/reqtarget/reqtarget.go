// Package reqtarget finds the target that a request came with, to forward it unchanged. It is pure.
package reqtarget

import (
	"net/http"
	"net/url"
	"strings"
)

// Of returns a request's path and query as they came. If the host has changed the path, as
// http.StripPrefix does, it returns the changed path, encoded anew.
func Of(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if path == r.URL.Path {
		return r.RequestURI
	}
	if plain, err := url.PathUnescape(path); err == nil && plain == r.URL.Path {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// Package reqtarget tells what a request's target was, for fronts that pass it on. It is a function of the request alone.
package reqtarget

import (
	"net/http"
	"net/url"
	"strings"
)

// Of is the request's path and query as they came, unless the host has changed the path (http.StripPrefix
// does).
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

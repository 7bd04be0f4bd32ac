package httplistener

import "net/http"

// responseWriter adds "Connection: close" to a response that starts while the server is draining. It
// checks when the response starts, as the handler may have been called long before shutdown began.
type responseWriter struct {
	http.ResponseWriter
	server  *Server
	started bool
}

// WriteHeader starts the response, unless it is an informational one.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.start()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write starts the response if it has not started, as http.ResponseWriter.Write does.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(b)
}

// FlushError starts the response and flushes it. http.ResponseController.Flush calls it.
func (w *responseWriter) FlushError() error {
	w.start()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the original writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// start marks the response as started, and sets "Connection: close" if the server is draining.
func (w *responseWriter) start() {
	if w.started {
		return
	}
	w.started = true
	if w.server.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

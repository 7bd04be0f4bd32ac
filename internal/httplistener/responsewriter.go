package httplistener

import "net/http"

// responseWriter is the writer of one response. Once the server drains, each response says that its
// connection ends with it. Its handler may have been called long before, so it is the start of the
// response that counts.
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

// Write starts the response if that has not been done, as that of http.ResponseWriter does.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(b)
}

// FlushError is called by http.ResponseController's Flush. It starts the response.
func (w *responseWriter) FlushError() error {
	w.start()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the original writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// start sets the header's fields that depend on the server's state, once.
func (w *responseWriter) start() {
	if w.started {
		return
	}
	w.started = true
	if w.server.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Package middleware holds what the middlewares for different frameworks share: which requests go through the
// Door, and how they are read.
package middleware

import (
	"strings"

	"pumicecroft"
)

// Config is what the options set.
type Config struct {
	Prefixes []string           // see Routes
	Mapper   pumicecroft.Mapper // nil: the Door's own
}

// Option changes a middleware.
type Option func(*Config)

// Routes names the paths that go through the Door: each as it is and with all that lies below it, so "/pay" takes
// /pay and /pay/1 but not /payment. Everything else goes to the host's next handler. The default is the names of
// the Door's classes.
func Routes(prefixes ...string) Option {
	return func(c *Config) { c.Prefixes = append(c.Prefixes, prefixes...) }
}

// Mapper says how a host's request becomes a Request; the default is the Door's own, which reads the platform's
// headers. The body is read by the Door, unless the Mapper sets one.
func Mapper(m pumicecroft.Mapper) Option { return func(c *Config) { c.Mapper = m } }

// New collects options for a Door.
func New(d *pumicecroft.Gateway, options ...Option) Config {
	var c Config
	for _, o := range options {
		o(&c)
	}
	if len(c.Prefixes) == 0 {
		for _, name := range d.ClassNames() {
			c.Prefixes = append(c.Prefixes, "/"+name)
		}
	}
	for i, p := range c.Prefixes {
		c.Prefixes[i] = "/" + strings.Trim(p, "/")
	}
	return c
}

// Takes tells whether a path goes through the Door.
func (c *Config) Takes(path string) bool {
	for _, p := range c.Prefixes {
		if rest, ok := strings.CutPrefix(path, p); ok && (p == "/" || rest == "" || rest[0] == '/') {
			return true
		}
	}
	return false
}

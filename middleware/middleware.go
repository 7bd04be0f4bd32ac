// Package middleware holds the options that the middlewares for different frameworks share: which requests go
// through the Gateway, and how HTTP requests are converted to the Gateway's requests.
package middleware

import (
	"strings"

	"pumicecroft"
)

// Config is the configuration of a middleware, as its options set it.
type Config struct {
	Prefixes []string           // see Routes
	Mapper   pumicecroft.Mapper // nil means the default, see Mapper
}

// Option configures a middleware.
type Option func(*Config)

// Routes adds paths that go through the Gateway, each with all paths below it: "/pay" matches /pay and /pay/1 but
// not /payment. All other requests go to the embedding program's next handler. The default is one path for each of
// the Gateway's classes, by its name.
func Routes(prefixes ...string) Option {
	return func(c *Config) { c.Prefixes = append(c.Prefixes, prefixes...) }
}

// Mapper sets how an HTTP request is converted to a pumicecroft.Request. The default under net/http is the Gateway's
// own Mapper, which reads the platform's headers unless pumicecroft.WithMapper has replaced it; under gin it is
// pumicecroft.PlatformRequest. The Gateway reads the body, unless the Mapper sets a body.
func Mapper(m pumicecroft.Mapper) Option { return func(c *Config) { c.Mapper = m } }

// New returns the configuration that options set, with the defaults for a Gateway.
func New(gateway *pumicecroft.Gateway, options ...Option) Config {
	var c Config
	for _, o := range options {
		o(&c)
	}
	if len(c.Prefixes) == 0 {
		for _, name := range gateway.ClassNames() {
			c.Prefixes = append(c.Prefixes, "/"+name)
		}
	}
	for i, p := range c.Prefixes {
		c.Prefixes[i] = "/" + strings.Trim(p, "/")
	}
	return c
}

// Matches reports whether a path goes through the Gateway.
func (c *Config) Matches(path string) bool {
	for _, p := range c.Prefixes {
		if rest, ok := strings.CutPrefix(path, p); ok && (p == "/" || rest == "" || rest[0] == '/') {
			return true
		}
	}
	return false
}

package operatorconfig

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/httpproxy"
	"pumicecroft/internal/settings"
)

// class is a class as the file has it. The decision engine has a class for each of its variants, which
// differ in their idempotency: requests of a class may be more or less idempotent, by their method or by
// the effect of their route.
type class struct {
	decision.Class
	// byMethod means that the class has no effect of its own: the method of each request determines its
	// idempotency. Class.Idempotency is Idempotent then.
	byMethod bool
	// added has the variants that are in the settings, by idempotency.
	added [decision.NonIdempotent + 1]bool
}

// variantSuffixes are the suffixes of the names of variants whose idempotency differs from the class's.
// They appear in metrics and logs.
var variantSuffixes = [...]string{
	decision.IdempotentByKey: " (keyed)",
	decision.NonIdempotent:   " (once)",
}

// variantName returns the name of the variant with the given idempotency.
func (c *class) variantName(i decision.Idempotency) string {
	if i == c.Idempotency {
		return c.Name
	}
	return c.Name + variantSuffixes[i]
}

// variant returns the variant with the given idempotency.
func (c *class) variant(i decision.Idempotency) decision.Class {
	v := c.Class
	if i == c.Idempotency && !c.byMethod {
		return v
	}
	v.Name, v.Idempotency = c.variantName(i), i
	if i != decision.IdempotentByKey {
		v.DedupWindow = 0
	}
	return v
}

// variantsFor returns which variants the requests of a route need, whose effect is nil if it has none.
// If both the class and the route have an effect, the stricter one holds. The variant for idempotency keys
// needs a deduplication window, and comes with the one for requests without a key; without a window, the
// requests are not idempotent.
func (c *class) variantsFor(effect *decision.Idempotency) []decision.Idempotency {
	switch {
	case c.byMethod && c.DedupWindow > 0:
		return []decision.Idempotency{decision.Idempotent, decision.NonIdempotent, decision.IdempotentByKey}
	case c.byMethod:
		return []decision.Idempotency{decision.Idempotent, decision.NonIdempotent}
	case effect == nil || *effect <= c.Idempotency:
		return []decision.Idempotency{c.Idempotency}
	case *effect == decision.IdempotentByKey && c.DedupWindow > 0:
		return []decision.Idempotency{decision.NonIdempotent, decision.IdempotentByKey}
	}
	return []decision.Idempotency{decision.NonIdempotent}
}

// addVariants adds the variants that the requests of a route need to the settings, unless they are there,
// and returns their names. effect is nil if the route has none.
func (f *File) addVariants(c *class, effect *decision.Idempotency) (names httpproxy.Classes) {
	for _, i := range c.variantsFor(effect) {
		if !c.added[i] {
			c.added[i] = true
			f.Gateway.Settings.Classes = append(f.Gateway.Settings.Classes, c.variant(i))
		}
		switch i {
		case decision.Idempotent:
			names.Idempotent = c.variantName(i)
		case decision.IdempotentByKey:
			names.IdempotentByKey = c.variantName(i)
		case decision.NonIdempotent:
			names.NonIdempotent = c.variantName(i)
		}
	}
	return names
}

// addClass adds a class, or replaces the one of the same name.
func (f *File) addClass(c class) {
	if existing := f.classesByName[c.Name]; existing != nil {
		*existing = c
		return
	}
	f.classes = append(f.classes, &c)
	f.classesByName[c.Name] = &c
}

// readClass reads the settings of a class that [[class]] and [[service]] have in common.
func readClass(s *settings.Section, name string) decision.Class {
	c := decision.Class{Name: name}
	// The names of scopes are ordered like the type's constants.
	c.DedupScope = decision.DedupScope(s.OneOf("group", "all", "all", "zone", "cell"))
	c.DedupWindow = s.Duration("key_window", 0, 0, day)
	c.Deadline = s.Duration("deadline", 10*time.Second, time.Millisecond, time.Hour)
	c.LatencyObjective = s.Duration("aim", c.Deadline/2, time.Millisecond, time.Hour)
	c.PriorityWeight = s.Float("worth", 1, 0, unbounded)
	c.LateWeightFactor = s.Float("late_worth", 0, 0, 1)
	if c.LatencyObjective > c.Deadline {
		s.Problemf("aim", "%v is over the deadline of %v", c.LatencyObjective, c.Deadline)
	}
	return c
}

// readEffect reads the idempotency of a class or route, whose key is "effect".
func readEffect(s *settings.Section) decision.Idempotency {
	// The names are ordered like the type's constants.
	return decision.Idempotency(s.OneOf("effect", "safe", "safe", "keyed", "unsafe"))
}

// readClasses reads [[class]]. It must be called after the services were read: a [[class]] replaces the
// class that a [[service]] of the same name has created.
func readClasses(d *settings.Document, root *settings.Section, f *File) {
	seen := map[string]bool{}
	for _, s := range root.List("class") {
		c := class{Class: readClass(s, s.String("name", true))}
		checkUniqueName(seen, s, c.Name)
		_, hasEffect := s.Get("effect")
		c.byMethod = f.HTTP != nil && !hasEffect
		c.Idempotency = readEffect(s)
		if c.Idempotency == decision.IdempotentByKey && c.DedupWindow == 0 {
			s.Problemf("key_window",
				"a keyed class needs it: the time for which backends of a group drop repeated requests")
		}
		s.RejectUnknownKeys()
		f.addClass(c)
	}
	for _, c := range f.classes {
		f.addVariants(c, nil)
	}
	if len(f.classes) == 0 {
		d.Problemf("", "class", "at least one [[class]] with a name is required")
	}
}

// checkVariantNames reports a problem for each class that has the name of a variant of another class. It
// must be called after the routes were read. Requests are assigned to classes by name, so one of the two
// would lose its effect.
func checkVariantNames(d *settings.Document, f *File) {
	for _, c := range f.classes {
		for idempotency, added := range c.added {
			name := c.variantName(decision.Idempotency(idempotency))
			if added && name != c.Name && f.classesByName[name] != nil {
				d.Problemf("", "class", "%q is the name of a class and of a part of class %q: one of them needs another name",
					name, c.Name)
			}
		}
	}
}

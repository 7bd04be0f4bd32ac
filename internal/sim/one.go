package sim

import (
	"slices"
	"time"

	"pumicecroft/decision"
)

// Acts are the ways in which a first attempt can end in One.
var Acts = []string{"served", "error", "turned away", "ran and broke", "broke unheard", "spoilt", "cut", "hung", "hung unrun"}

// One is a single ask of a class in a quiet world, at a fleet of backends by their cells, of which the first attempt ends in
// one of Acts: what its client gets, how many attempts came whole to a backend, and how many effects there were. The suite's
// cases on sockets are the same, so that the world can be held against the real one.
func One(class string, cells []int, act string) (told string, attempts, effects int) {
	r := newRunner(1, Options{})
	r.shape = shape{doors: 1, backends: len(cells), canCancel: true, fallMultiple: platformFall, fallFor: time.Second, group: decision.GroupCell,
		keyWindow: 5 * time.Second, discovery: true, conns: 64, descriptors: 1000, idle: 15 * time.Second, mostOpen: 100, mostAttempts: 3, mostIDs: 100,
		aim: 10 * time.Second, deadline: 15 * time.Second}
	r.act = act
	r.populate(func(i int) int { return cells[i] })
	a := &ask{class: class, key: 1, customer: 1, units: 1, timeout: r.shape.deadline}
	if act == "hung" || act == "hung unrun" {
		a.timeout = 1200 * time.Millisecond
	}
	r.after(time.Second, func() { r.ask(a, 0, 1) })
	r.run(start+time.Minute, 1_000_000)
	return a.verdict, int(r.requests), a.effects
}

// scripted is the act that One wants of the first request that comes, else nothing.
func (r *runner) scripted(j *job) string {
	if r.act == "" || j.number > 1 || !slices.Contains(Acts, r.act) {
		return ""
	}
	return r.act
}

// perform has a backend do an act of One's.
func (b *backend) perform(j *job, act string) {
	switch l := j.link; act {
	case "turned away":
		b.reply(j, "503 Service Unavailable", "Not-Started: 1\r\n", "")
	case "hung unrun":
	case "broke unheard":
		l.breaks()
	default:
		j.first = b.keys.first(j.ask.key, b.w.now, b.r.shape.keyWindow)
		b.c.ran(j, b)
		switch act {
		case "error":
			b.reply(j, "500 Internal Server Error", "", "")
		case "ran and broke":
			l.breaks()
		case "spoilt":
			l.answer([]byte("\x00\x01noise\r\n\r\n"), 0)
			l.endDown(errFIN)
			l.letGo()
		case "cut":
			l.answer([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"), 0)
			l.endDown(errFIN)
			l.letGo()
		case "served":
			b.reply(j, "200 OK", "", j.ask.answer())
		}
	}
}

package executor

import (
	"context"
	"time"
)

// contextWatchDelay is how old a request is when its context begins to be watched. Most requests are answered before,
// and a watch costs about a tenth of what the gateway does for a request. A client that leaves sooner is noticed
// then, and by SendForbidden.
const contextWatchDelay = 2 * time.Millisecond

// track notes a request whose context is to be watched once it is contextWatchDelay old. The caller holds the lock.
func (e *Executor) trackContext(request *openRequest) {
	request.arrivedAt, request.tracked = e.clock.Now(), true
	if request.prev = e.unwatchedTail; request.prev != nil {
		request.prev.next = request
	} else {
		e.unwatchedHead = request
	}
	e.unwatchedTail = request
	if e.nextWatchAt == 0 {
		e.nextWatchAt = request.arrivedAt + contextWatchDelay
	}
}

// untrack ends what track and watchContexts began. The caller holds the lock.
func (e *Executor) untrackContext(request *openRequest) {
	switch {
	case !request.tracked:
	case request.stopWatch != nil:
		request.stopWatch()
	default:
		e.unlinkUnwatched(request)
	}
	request.tracked = false
}

func (e *Executor) unlinkUnwatched(request *openRequest) {
	if request.prev != nil {
		request.prev.next = request.next
	} else {
		e.unwatchedHead = request.next
	}
	if request.next != nil {
		request.next.prev = request.prev
	} else {
		e.unwatchedTail = request.prev
	}
	request.prev, request.next = nil, nil
}

// watchContexts begins to watch the context of each request that is old enough. The caller holds the lock.
func (e *Executor) watchContexts(now time.Duration) {
	if e.nextWatchAt == 0 || now < e.nextWatchAt {
		return
	}
	for e.unwatchedHead != nil && e.unwatchedHead.arrivedAt+contextWatchDelay <= now {
		request := e.unwatchedHead
		e.unlinkUnwatched(request)
		request.stopWatch = context.AfterFunc(request.ctx, func() { e.clientDisconnected(request) })
	}
	if e.nextWatchAt = 0; e.unwatchedHead != nil {
		e.nextWatchAt = e.unwatchedHead.arrivedAt + contextWatchDelay
	}
}

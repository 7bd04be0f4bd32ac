package simwire

import (
	"bytes"
	"fmt"
	"time"

	"pumicecroft/decision"
)

// MaxTimer is the longest timer of the protocol. Longer timers are encoded as MaxTimer.
const MaxTimer = 71 * time.Minute

// AppendAction appends an action of an instance as a line, or nothing if the protocol does not have the
// action.
func AppendAction(b *bytes.Buffer, instance int, action decision.Action) {
	switch a := action.(type) {
	case decision.StartAttempt:
		fmt.Fprintf(b, `{"m":"assign","door":%d,"txn":"%s","max_wait_us":%d,"backend":%d}`, instance,
			formatID(a.Request), a.Timeout.Microseconds(), a.Backend)
	case decision.Reject:
		fmt.Fprintf(b, `{"m":"reject","door":%d,"txn":"%s","not_before_for_us":%d}`, instance,
			formatID(a.Request), a.RetryAfter.Microseconds())
	case decision.Fail:
		fmt.Fprintf(b, `{"m":"surrender","door":%d,"txn":"%s"}`, instance, formatID(a.Request))
	case decision.CancelAttempt:
		fmt.Fprintf(b, `{"m":"recall","door":%d,"txn":"%s","try":%d}`, instance, formatID(a.Request), a.Attempt)
	case decision.SetTimer:
		fmt.Fprintf(b, `{"m":"timer","door":%d,"from_now_us":%d,"ref":%d}`, instance,
			min(max(a.After, 0), MaxTimer).Microseconds(), a.Token)
	case decision.Probe:
		fmt.Fprintf(b, `{"m":"poll","door":%d,"backend":%d}`, instance, a.Backend)
	case decision.Subscribe:
		fmt.Fprintf(b, `{"m":"follow","door":%d,"want":true}`, instance)
	case decision.CounterAdd:
		fmt.Fprintf(b, `{"m":"charge_counter","door":%d,"counter_key":%d,"delta":%g,"ttl_us":%d}`, instance,
			a.Key, a.Amount, a.TTL.Microseconds())
	default:
		return
	}
	b.WriteByte('\n')
}

// AppendEnd appends the line that ends the reply to a batch.
func AppendEnd(b *bytes.Buffer) { b.WriteString("{\"m\":\"eor\"}\n") }

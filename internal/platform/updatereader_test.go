package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pumicecroft/internal/testkit"
)

// encodeUpdate returns an update of n entries of typical length.
func encodeUpdate(seq, n int, full bool, health string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"seq":%d,"whole":%v,"hosts":[`, seq, full)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"host":"s-%08x","dial":"10.1.%d.%d:8443","site":"a","class":"m2","block":3,`, i, i>>8, i&255)
		fmt.Fprintf(&b, `"health":"%s","share":1.0,"born_ms":0}`, health)
	}
	b.WriteString("]}\n")
	return b.Bytes()
}

// follow runs d until the test ends and returns a channel of the updates that it reports.
func follow(t *testing.T, d *Discovery) chan EndpointUpdate {
	t.Helper()
	updates, ended := make(chan EndpointUpdate, 1000), make(chan bool)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		d.Follow(ctx, func(u EndpointUpdate) { updates <- u })
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		testkit.Await(t, ended, "the end")
	})
	return updates
}

// The list of the largest deployment arrives in chunks as an agent writes them. It must be read completely,
// both from a response with the full list and as the first update of a watch.
func TestLargeUpdateInPieces(t *testing.T) {
	const n = 110_000
	text := encodeUpdate(41, n, true, "Ready")
	addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		tick := time.NewTicker(2 * time.Millisecond)
		defer tick.Stop()
		for rest := text; len(rest) > 0; {
			chunk := rest[:min(len(rest), 64<<10)]
			rest = rest[len(chunk):]
			if _, err := w.Write(chunk); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			<-tick.C
		}
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
	})
	for _, from := range []int64{FromFullUpdate, 7} {
		updates := follow(t, &Discovery{Addr: addr, FromVersion: from, MaxEntries: n})
		u := testkit.Await(t, updates, "the list")
		if !u.Full || u.Seq != 41 || len(u.Endpoints) != n || u.Endpoints[n-1].Name != fmt.Sprintf("s-%08x", n-1) {
			t.Errorf("from %d: got version %d, full %v, %d endpoints, want version 41, full true, %d endpoints in order",
				from, u.Seq, u.Full, len(u.Endpoints), n)
		}
	}
}

// chunkReader returns at most size bytes of text per Read, and err after the last of them.
type chunkReader struct {
	text string
	size int
	err  error
}

func (p *chunkReader) Read(b []byte) (int, error) {
	n := copy(b, p.text[:min(len(p.text), p.size)])
	if p.text = p.text[n:]; n == 0 {
		return 0, p.err
	}
	return n, nil
}

// Updates are valid with their fields in any order, with unknown fields and with white space; invalid and
// oversized ones must be rejected. The size of the chunks in which they arrive must make no difference.
func TestUpdateReader(t *testing.T) {
	const host = `{"host":"s-1","dial":"h:1","health":"Ready","more":{"a":[1,{}]}}`
	tooLong := 2*maxEntryBytes + readBufferSize
	for _, c := range []struct{ name, text, want string }{
		{"full", `{"seq":3,"whole":true,"hosts":[` + host + `]}`, "3 true 1"},
		{"fields in another order", `{"hosts":[` + host + `,` + host + `],"x":[{}],"whole":true,"seq":3}`, "3 true 2"},
		{"indented", "\n\n { \"SEQ\" : 3 ,\n \"hosts\" : [ \n " + host + " ] \n }\n\n", "3 false 1"},
		{"null hosts", `{"hosts":null,"seq":3}`, "3 false 0"},
		{"empty object", `{}`, "0 false 0"},
		{
			"several", `{"seq":3}` + "\n\n" + `{"seq":4,"hosts":[]}{"seq":5,"hosts":[` + host + `]}`,
			"3 false 0; 4 false 0; 5 false 1",
		},
		{"hosts twice", `{"seq":3,"hosts":[` + host + `],"hosts":[]}`, errDuplicateHosts.Error()},
		{"array", `[]`, errNotUpdate.Error()},
		{"hosts not an array", `{"seq":3,"hosts":{}}`, errNotUpdate.Error()},
		{
			"truncated within an entry", `{"seq":3}` + "\n" + `{"seq":4,"hosts":[` + host + `,{"host":"s-`,
			"3 false 0; " + io.ErrUnexpectedEOF.Error(),
		},
		{"truncated after the entries", `{"seq":4,"hosts":[` + host + `]`, io.ErrUnexpectedEOF.Error()},
		{"too many entries", `{"seq":4,"hosts":[` + strings.Repeat(host+",", 3) + host + `]}`, "more than 3 entries"},
		{
			"one entry that counts as five", `{"seq":4,"hosts":[{"host":"` + strings.Repeat("s", 4*bytesPerEntry) + `"}]}`,
			"more than 3 entries",
		},
		{"endless name", `{"seq":4,"hosts":[{"host":"` + strings.Repeat("s", tooLong), errEntryTooLong.Error()},
		{"endless space", `{"seq":4,"hosts":[` + host + `,` + strings.Repeat(" ", tooLong), errEntryTooLong.Error()},
		{"endless fields", `{` + strings.Repeat(`"a":1,`, tooLong/6) + `"a":1}`, errEntryTooLong.Error()},
		{"many empty lines", strings.Repeat("\n", tooLong) + `{"seq":3}`, "3 false 0"},
	} {
		for _, size := range []int{1, 7, 1 << 20} {
			reader := newUpdateReader(&chunkReader{c.text, size, io.EOF}, 3)
			var got []string
			for {
				u, err := reader.next()
				var invalid *invalidUpdateError
				if errors.As(err, &invalid) {
					got = append(got, invalid.err.Error())
				}
				if err != nil {
					break
				}
				got = append(got, fmt.Sprint(u.Seq, u.Full, len(u.Endpoints)))
			}
			if got := strings.Join(got, "; "); got != c.want {
				t.Errorf("%s, in chunks of %d: got %s, want %s", c.name, size, got, c.want)
			}
		}
	}
}

// Each response of discovery is a list over the limit. Requests must back off exponentially, but never to more
// than 6 s between two of them.
func TestInvalidUpdateBacksOff(t *testing.T) {
	t.Parallel()
	requestTimes := make(chan time.Time, 100)
	addr := testkit.Serve(t, func(w http.ResponseWriter, _ *http.Request) {
		requestTimes <- time.Now()
		w.Write(encodeUpdate(41, 4, true, "Ready"))
	})
	updates := follow(t, &Discovery{Addr: addr, FromVersion: FromFullUpdate, MaxEntries: 3})
	last := testkit.Await(t, requestTimes, "the first request")
	for i := range 5 {
		at := testkit.Await(t, requestTimes, "a further request")
		minDelay := 50 * time.Millisecond << i // half of the first delay of 0.1 s, doubled each time
		if at.Sub(last) < minDelay || at.Sub(last) > 6*time.Second {
			t.Errorf("request %d came %v after the previous one, want %v to 6 s", i+2, at.Sub(last), minDelay)
		}
		last = at
	}
	if len(updates) > 0 {
		t.Errorf("an update over the limit was reported: %+v", <-updates)
	}
}

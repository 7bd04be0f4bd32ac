package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

const (
	maxHead   = 16 << 10 // of an answer, 1xx answers ahead of it among it
	firstRoom = 2 << 10  // for what most answers are
)

// Answer is what a backend answered.
type Answer struct {
	ContentType string
	Body        []byte
}

// Why an answer can't be used.
var (
	errBig    = errors.New("the answer is larger than answers may be")
	errLength = errors.New("the answer does not tell its length")
	errSwitch = errors.New("the answer switches protocols")
	errBody   = errors.New("the answer tells of a body that it can't have")
)

// head is what is wanted of an answer's head.
type head struct {
	status            int
	contentType       string
	use, load         string
	notStarted, close bool
}

// reader reads one answer from bytes as they come, in pieces however cut. Nothing is read twice but what net/http's reader
// wants whole: it is tried again with each empty line that has come, until it has an answer.
type reader struct {
	method string
	raw    []byte // as it came, but for a plain answer's body
	body   []byte // of a plain answer, got of it have come; or of any other once it is whole
	got    int
	plain  bool // raw had a plain head
	need   int  // raw must be at least so long to be whole, as far as known
	most   int  // raw may be no longer
	tried  int  // so much of raw was there at the last try
	head   head
	extra  bool // something stands behind it
}

// reset begins another answer; room is kept from the last one.
func (r *reader) reset(method string, room []byte) {
	*r = reader{method: method, raw: room[:0], most: maxHead}
}

// begun tells whether anything has come.
func (r *reader) begun() bool { return len(r.raw) > 0 }

// room is where what comes next must be put. It is never empty while the answer is not whole.
func (r *reader) room() []byte {
	if r.plain {
		return r.body[r.got:]
	}
	if cap(r.raw) < firstRoom {
		r.raw = append(make([]byte, 0, firstRoom), r.raw...)
	}
	if len(r.raw) == cap(r.raw) {
		r.raw = append(make([]byte, 0, min(max(2*cap(r.raw), r.need), r.most)), r.raw...)
	}
	return r.raw[len(r.raw):min(cap(r.raw), r.most)]
}

// came takes in n bytes that stand in room, and tells whether the answer is whole. An error means that there is none that
// can be used.
func (r *reader) came(n int) (whole bool, err error) {
	if n == 0 {
		return false, nil
	}
	if r.plain {
		r.got += n
		return r.got == len(r.body), nil
	}
	r.raw = r.raw[:len(r.raw)+n]
	if rest, body, ok := plainAnswer(r.raw, &r.head); ok {
		r.plain, r.body = true, body
		r.got = copy(body, rest)
		r.extra = len(rest) > r.got
		return r.got == len(body), nil
	}
	if len(r.raw) >= r.need && (r.need > 0 || emptyLine(r.raw[max(0, r.tried-2):])) {
		r.tried = len(r.raw)
		if whole, err = r.try(); whole || err != nil {
			return whole, err
		}
	}
	if len(r.raw) >= r.most {
		return false, errBig
	}
	return false, nil
}

// emptyLine tells whether there is one, as every head and the last of all chunks end with. An empty line that begins a head
// makes it a bad one.
func emptyLine(text []byte) bool {
	return bytes.Contains(text, []byte("\n\r\n")) || bytes.Contains(text, []byte("\n\n")) || bytes.HasPrefix(text, []byte("\r\n")) ||
		bytes.HasPrefix(text, []byte("\n"))
}

// headEnd is where a head ends, behind its empty line; -1: it is not whole. net/http takes a head that is cut within a line
// for a bad one.
func headEnd(text []byte) int {
	for from := 0; ; {
		n := bytes.IndexByte(text[from:], '\n')
		if n < 0 {
			return -1
		}
		if line := text[from : from+n]; len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return from + n + 1
		}
		from += n + 1
	}
}

// short tells whether an answer may only not be whole yet.
func short(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		strings.Contains(err.Error(), "trailer") // that of chunks, which net/http has no error values for
}

// try has net/http read what has come.
func (r *reader) try() (whole bool, err error) {
	from := 0
	var res *http.Response
	var text *bytes.Reader
	var in *bufio.Reader
	for {
		end := headEnd(r.raw[from:])
		if end < 0 {
			return false, nil
		}
		text = bytes.NewReader(r.raw[from:])
		in = bufio.NewReader(text)
		if res, err = http.ReadResponse(in, &http.Request{Method: r.method}); err != nil {
			if short(err) {
				err = nil
			}
			return false, err
		}
		if res.StatusCode >= 200 || res.StatusCode == http.StatusSwitchingProtocols {
			break
		}
		from += end
	}
	headLen := len(r.raw) - text.Len() - in.Buffered()
	r.most = headLen + 2*MaxBody // chunks take more room than what is in them
	switch {
	case res.StatusCode == http.StatusSwitchingProtocols:
		return false, errSwitch
	case res.ContentLength > MaxBody:
		return false, errBig
	case res.ContentLength >= 0:
		if res.Body == http.NoBody && res.ContentLength > 0 {
			return false, errBody
		}
		r.need = headLen + int(res.ContentLength)
		body := make([]byte, res.ContentLength)
		if _, err := io.ReadFull(res.Body, body); err != nil {
			return false, nil
		}
		r.body = body
	case len(res.TransferEncoding) == 0: // only the connection's end would end it: it can't be told from a cut one
		return false, errLength
	default:
		body, err := io.ReadAll(io.LimitReader(res.Body, MaxBody+1))
		if len(body) > MaxBody {
			return false, errBig
		}
		if err != nil {
			if short(err) {
				err = nil
			}
			return false, err
		}
		r.body = body
	}
	r.extra = text.Len()+in.Buffered() > 0
	r.head = head{status: res.StatusCode, contentType: res.Header.Get("Content-Type"), use: res.Header.Get("X-RateLimit-Used"),
		load: res.Header.Get("Server-Load"), notStarted: res.Header.Get("Not-Started") == "1", close: res.Close}
	return true, nil
}

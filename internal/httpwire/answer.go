package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
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
// wants whole: it is tried again with each line that has come, until it has an answer.
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
	if len(r.raw) >= r.need && (r.need > 0 || bytes.IndexByte(r.raw[r.tried:], '\n') >= 0) {
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

// try has net/http read what has come.
func (r *reader) try() (whole bool, err error) {
	short := func(err error) (bool, error) {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return false, nil
		}
		return false, err
	}
	text := bytes.NewReader(r.raw)
	in := bufio.NewReader(text)
	asked := http.Request{Method: r.method}
	res, err := http.ReadResponse(in, &asked)
	for err == nil && res.StatusCode < 200 && res.StatusCode != http.StatusSwitchingProtocols {
		res, err = http.ReadResponse(in, &asked)
	}
	if err != nil {
		return short(err)
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
			return short(err)
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
			return short(err)
		}
		r.body = body
	}
	r.extra = text.Len()+in.Buffered() > 0
	r.head = head{status: res.StatusCode, contentType: res.Header.Get("Content-Type"), use: res.Header.Get("X-RateLimit-Used"),
		load: res.Header.Get("Server-Load"), notStarted: res.Header.Get("Not-Started") == "1", close: res.Close}
	return true, nil
}

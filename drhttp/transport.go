package drhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Transport sends the requests of a client of fasthttp and reads the answers with
// ReadFinalHeader and Body, in place of fasthttp's own parser. The zero value is ready to use.
type Transport struct{}

var _ fasthttp.RoundTripper = Transport{}

// RoundTrip implements fasthttp.RoundTripper. No request is repeated.
func (Transport) RoundTrip(client *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	began := time.Now()
	conn, err := client.AcquireConn(req.GetTimeOut(), req.ConnectionClose())
	if err != nil {
		return false, err
	}
	discard := func() { client.CloseConn(conn) }
	keep := func() { client.ReleaseConn(conn) }
	if err := sendRequest(client, conn.Conn(), req, began); err != nil {
		discard()
		return false, err
	}
	reader := client.AcquireReader(conn.Conn())
	body, err := readAnswer(client, conn.Conn(), reader, req, resp, began)
	if err != nil {
		client.ReleaseReader(reader)
		discard()
		return false, err
	}
	reusable := !req.ConnectionClose() && !resp.ConnectionClose()
	if body != nil {
		// The reader is not used again: a Read of the body may be in progress when it is closed.
		stream := &streamedBody{body: body, reader: reader, discard: discard, keep: keep, reusable: reusable}
		resp.SetBodyStream(stream, resp.Header.ContentLength())
		return false, nil
	}
	// Bytes after the answer belong to no request.
	reusable = reusable && reader.Buffered() == 0
	client.ReleaseReader(reader)
	if reusable {
		keep()
	} else {
		discard()
	}
	return false, nil
}

// sendRequest writes a request.
func sendRequest(client *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, began time.Time) error {
	if err := conn.SetWriteDeadline(deadline(began, req.GetTimeOut(), client.WriteTimeout)); err != nil {
		return err
	}
	writer := client.AcquireWriter(conn)
	defer client.ReleaseWriter(writer)
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// readAnswer reads an answer, without its body if that is to be streamed. It then returns a
// reader of the body, else nil.
func readAnswer(client *fasthttp.HostClient, conn net.Conn, reader *bufio.Reader, req *fasthttp.Request, resp *fasthttp.Response, began time.Time) (io.Reader, error) {
	if err := conn.SetReadDeadline(deadline(began, req.GetTimeOut(), client.ReadTimeout)); err != nil {
		return nil, err
	}
	if err := ReadFinalHeader(&resp.Header, reader); err != nil {
		return nil, err
	}
	if resp.SkipBody || req.Header.IsHead() {
		resp.SkipBody = true
		return nil, nil
	}
	body := Body(&resp.Header, reader)
	if resp.StreamBody {
		return body, nil
	}
	content, err := ReadBody(body, client.MaxResponseBodySize)
	if err != nil {
		return nil, err
	}
	resp.SetBodyRaw(content)
	return nil, nil
}

// deadline returns when the shortest of some timeouts passes, of which 0 is none.
func deadline(began time.Time, timeouts ...time.Duration) time.Time {
	var earliest time.Time
	for _, d := range timeouts {
		if at := began.Add(d); d > 0 && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

// streamedBody is the body of an answer that is read by the caller.
type streamedBody struct {
	body io.Reader
	// reader is what the body is read from.
	reader *bufio.Reader
	// keep and discard give back the connection; reusable is set if the answer allows a further
	// request on it.
	keep, discard func()
	reusable      bool

	// whole is set once the body has been read and nothing follows it.
	whole, closed atomic.Bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) && b.reader.Buffered() == 0 {
		b.whole.Store(true)
	}
	return n, err
}

// CloseWithError gives back the connection. It ends a Read that is waiting, unless the whole
// body has been read.
func (b *streamedBody) CloseWithError(error) error {
	switch {
	case b.closed.Swap(true):
	case b.whole.Load() && b.reusable:
		b.keep()
	default:
		b.discard()
	}
	return nil
}

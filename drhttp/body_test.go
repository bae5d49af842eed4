package drhttp_test

import (
	"bufio"
	"errors"
	"io"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drhttp"
)

// Guards against memory for a body that is only stated, and against a process that ends for that.
func TestStatedLengthTakesNoMemory(t *testing.T) {
	for _, c := range []struct{ length, limit int }{{1 << 62, 0}, {1 << 30, 0}, {1 << 30, 1 << 30}} {
		is := is.New(t)
		head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(c.length) + "\r\n\r\npart"
		reader := bufio.NewReader(strings.NewReader(head))
		var header fasthttp.ResponseHeader
		is.NoErr(drhttp.ReadHeader(&header, reader))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := drhttp.ReadBody(drhttp.Body(&header, reader), c.limit)
		runtime.ReadMemStats(&after)
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
		is.True(after.TotalAlloc-before.TotalAlloc < 16<<20)
	}
}

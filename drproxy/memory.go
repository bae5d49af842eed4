package drproxy

import (
	"errors"
	"sync/atomic"
)

const (
	// freeBuffer is the size in bytes up to which each request may buffer
	// without taking from the server's memory for large messages.
	freeBuffer = 64 << 10
	// minBuffer is the size in bytes with which a buffer of unknown length begins.
	minBuffer = 2 << 10
	// defaultLargeMessages is Config.LargeMessages if that is 0.
	defaultLargeMessages = 24 << 20
)

// errOutOfMemory means that the large messages of all requests together take as
// much memory as they may.
var errOutOfMemory = errors.New("no memory is left for large messages")

// memoryBudget bounds the memory that the large messages of all requests take
// together. Servers may send bytes without end, many at the same time. It is safe
// for concurrent use.
type memoryBudget struct{ left atomic.Int64 }

// take takes n bytes and reports whether as many were left.
func (b *memoryBudget) take(n int) bool {
	if b.left.Add(int64(-n)) >= 0 {
		return true
	}
	b.give(n)
	return false
}

func (b *memoryBudget) give(n int) { b.left.Add(int64(n)) }

// reserve takes memory for n more bytes that this request buffers. It fails with
// errOutOfMemory.
func (x *exchange) reserve(n int) error {
	taken := max(x.buffered+n-freeBuffer, 0) - max(x.buffered-freeBuffer, 0)
	if taken > 0 && !x.server.memory.take(taken) {
		return errOutOfMemory
	}
	x.buffered += n
	return nil
}

// releaseMemory gives back what reserve took.
func (x *exchange) releaseMemory() {
	x.server.memory.give(max(x.buffered-freeBuffer, 0))
	x.buffered = 0
}

// grow returns the buffer with room for at least one byte more, at most limit
// bytes in all. Its capacity doubles.
func (x *exchange) grow(buffer []byte, limit int) ([]byte, error) {
	if len(buffer) < cap(buffer) {
		return buffer, nil
	}
	size := min(max(2*cap(buffer), minBuffer), limit)
	if err := x.reserve(size - cap(buffer)); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	return grown, nil
}

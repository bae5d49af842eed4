// Package drpeer provides remote procedure calls between entry VMs. Two VMs that
// call each other share a yamux session, each call uses a stream of its own,
// and requests and replies are protobuf messages.
package drpeer

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// Version is the protocol version sent with each request. Receivers accept
// every version and ignore unknown fields.
const Version = 1

// Sender identifies the process that sent a request by its VM and by the
// incarnation of the process on it.
type Sender struct {
	VM          string
	Incarnation uint64
}

// Caller calls methods of other entry VMs. Its errors are *drerror.Error, with
// the verdict NotRun if the request certainly did not reach the handler.
type Caller interface {
	// Call sends req and decodes the reply to resp. A nil resp drops the reply.
	Call(ctx context.Context, vm, method string, req, resp proto.Message) error
}

// Handler answers a call. body is the encoded request, and a nil message means
// an empty reply. The context ends at the caller's deadline or when the caller
// or its session is gone. Handlers run concurrently.
type Handler func(ctx context.Context, from Sender, body []byte) (proto.Message, error)

// Registry is where the parts of a process register handlers for the methods
// that other VMs may call. They do so before the server starts, because calls
// without a handler fail with Unimplemented.
type Registry interface {
	// Handle registers the handler of a method.
	Handle(method string, handler Handler)
}

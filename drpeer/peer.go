// Package drpeer carries calls between entry VMs: one yamux session for each
// pair of VMs in use, one stream for each call, protobuf messages.
package drpeer

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// Version is the protocol version sent with each request. Receivers accept
// any version and ignore unknown fields.
const Version = 1

// Sender identifies the calling process.
type Sender struct {
	VM          string
	Incarnation uint64
}

// Caller calls methods of other entry VMs. Errors are *drerror.Error:
// NotRun if the request certainly did not reach the handler.
type Caller interface {
	Call(ctx context.Context, vm, method string, req, resp proto.Message) error
}

// Handler answers a call. The context ends at the caller's deadline or when
// the caller goes away.
type Handler func(ctx context.Context, from Sender, body []byte) (proto.Message, error)

// Registry registers handlers before the server starts.
type Registry interface {
	Handle(method string, handler Handler)
}

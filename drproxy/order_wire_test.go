package drproxy

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// Headers of orderWire.
const (
	idHeader          = "Id"
	keyHeader         = "Key"
	deadlineHeader    = "Deadline" // milliseconds
	modelHeader       = "Model"
	lastEventHeader   = "Last-Event"
	instanceHeader    = "Instance"
	notExecutedHeader = "Not-Executed"
	sealHeader        = "Seal"
	resumesHeader     = "Resumes"
)

// orderWire is a minimal Wire.
type orderWire struct{}

func (orderWire) IsReadiness(*fasthttp.RequestHeader) bool { return false }

func (orderWire) Call(h *fasthttp.RequestHeader) (*drfleet.Call, error) {
	deadline, _ := strconv.Atoi(string(h.Peek(deadlineHeader)))
	last, _ := strconv.Atoi(string(h.Peek(lastEventHeader)))
	return &drfleet.Call{
		ID: string(h.Peek(idHeader)), Method: string(h.Method()), Host: string(h.Host()), Path: string(h.RequestURI()),
		Key: string(h.Peek(keyHeader)), Deadline: time.Duration(deadline) * time.Millisecond,
		Model: string(h.Peek(modelHeader)), LastEvent: last, Resumes: string(h.Peek(resumesHeader)),
	}, nil
}

func (orderWire) Dispatch(h *fasthttp.RequestHeader, d Dispatch) {
	h.Set(instanceHeader, d.Instance)
	h.Set(deadlineHeader, strconv.FormatInt(d.Remaining.Milliseconds(), 10))
	h.Set(lastEventHeader, strconv.Itoa(d.LastEvent))
}

func (orderWire) Answer(h *fasthttp.ResponseHeader) Answer {
	return Answer{
		RequestID: string(h.Peek(idHeader)), NotExecuted: len(h.Peek(notExecutedHeader)) > 0, Sealed: len(h.Peek(sealHeader)) > 0,
	}
}

func (orderWire) Deliver(*fasthttp.ResponseHeader) {}

func (orderWire) Refuse(h *fasthttp.ResponseHeader, id string, _ time.Duration) { h.Set(idHeader, id) }

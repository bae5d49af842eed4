package dridempotency

import "github.com/dotterelridge/dotterelridge/drpb"

// Answer is the HTTP response of a service to a keyed call.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one header field of an Answer. A name may occur more than once.
type Header struct{ Name, Value string }

// toProto returns the answer as it is recorded in the log, nil for a nil
// answer. If the body and the headers together exceed MaxAnswer bytes, only
// the status is kept and Truncated is set.
func (a *Answer) toProto() *drpb.OnceAnswer {
	if a == nil {
		return nil
	}
	message := &drpb.OnceAnswer{Status: uint32(a.Status)}
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	if size > MaxAnswer {
		message.Truncated = true
		return message
	}
	message.Body = a.Body
	for _, h := range a.Headers {
		message.Headers = append(message.Headers, &drpb.OnceHeader{Name: h.Name, Value: h.Value})
	}
	return message
}

func answerFromProto(message *drpb.OnceAnswer) *Answer {
	answer := &Answer{Status: int(message.GetStatus()), Body: message.GetBody()}
	for _, h := range message.GetHeaders() {
		answer.Headers = append(answer.Headers, Header{h.GetName(), h.GetValue()})
	}
	return answer
}

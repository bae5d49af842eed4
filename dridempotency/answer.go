package dridempotency

import "github.com/dotterelridge/dotterelridge/drpb"

// Answer is the response of a plain service.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one header field of an answer.
type Header struct{ Name, Value string }

// toProto returns what is kept of the answer. Headers count to the size.
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

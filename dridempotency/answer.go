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

// message returns what is kept of the answer. Headers count to the size.
func (a *Answer) message() *drpb.OnceAnswer {
	if a == nil {
		return nil
	}
	m := &drpb.OnceAnswer{Status: uint32(a.Status)}
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	if size > MaxAnswer {
		m.Truncated = true
		return m
	}
	m.Body = a.Body
	for _, h := range a.Headers {
		m.Headers = append(m.Headers, &drpb.OnceHeader{Name: h.Name, Value: h.Value})
	}
	return m
}

func answerOf(m *drpb.OnceAnswer) *Answer {
	a := &Answer{Status: int(m.GetStatus()), Body: m.GetBody()}
	for _, h := range m.GetHeaders() {
		a.Headers = append(a.Headers, Header{h.GetName(), h.GetValue()})
	}
	return a
}

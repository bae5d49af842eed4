package drgateway

import "strings"

// stopFilter cuts a text that arrives in pieces before its first stop sequence. It
// holds back the end of the text while that may be the start of a stop sequence.
type stopFilter struct {
	sequences []string
	held      string
	stopped   bool
}

// push adds a piece of text and returns the text that can be output now. After a
// stop sequence was found, it returns "".
func (s *stopFilter) push(piece string) string {
	if len(s.sequences) == 0 {
		return piece
	}
	if s.stopped {
		return ""
	}
	text := s.held + piece
	cut := -1
	for _, stop := range s.sequences {
		if i := strings.Index(text, stop); i >= 0 && (cut < 0 || i < cut) {
			cut = i
		}
	}
	if cut >= 0 {
		s.stopped, s.held = true, ""
		return text[:cut]
	}
	keep := 0
	for _, stop := range s.sequences {
		for n := min(len(stop)-1, len(text)); n > keep; n-- {
			if strings.HasSuffix(text, stop[:n]) {
				keep = n
				break
			}
		}
	}
	s.held = text[len(text)-keep:]
	return text[:len(text)-keep]
}

// flush returns the text that was held back. It is called at the end of the text.
func (s *stopFilter) flush() string {
	out := s.held
	s.held = ""
	return out
}

package drgateway

import "strings"

// stopFilter cuts a text that arrives in pieces before the first stop sequence.
// It holds back the end of the text that may turn out to begin one.
type stopFilter struct {
	sequences []string
	held      string
	stopped   bool
}

// push adds a piece and returns the text that is certain to be output.
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

// flush returns what was held back when the text ends.
func (s *stopFilter) flush() string {
	out := s.held
	s.held = ""
	return out
}

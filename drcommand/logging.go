package drcommand

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// setLogging sends events of at least the given level to standard error.
func setLogging(env environment, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("%w: unknown log level %q", errUsage, level)
	}
	log.SetLevel(l)
	log.SetHandler(&lineHandler{out: env.err})
	return nil
}

// lineHandler writes one line of key=value pairs for each event.
type lineHandler struct {
	mu  sync.Mutex
	out io.Writer
}

// HandleLog implements log.Handler.
func (h *lineHandler) HandleLog(e *log.Entry) error {
	var b strings.Builder
	fmt.Fprintf(&b, "time=%s level=%s", e.Timestamp.UTC().Format(time.RFC3339Nano), e.Level)
	names := e.Fields.Names()
	slices.Sort(names)
	if slices.Contains(names, "event") {
		fmt.Fprintf(&b, " event=%s", quote(fmt.Sprint(e.Fields.Get("event"))))
	}
	for _, n := range names {
		if n != "event" {
			fmt.Fprintf(&b, " %s=%s", n, quote(fmt.Sprint(e.Fields.Get(n))))
		}
	}
	if e.Message != "" {
		fmt.Fprintf(&b, " message=%s", quote(e.Message))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := fmt.Fprintln(h.out, b.String())
	return err
}

// quote quotes values that would not read back as one value.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " \"=\n\t\r") {
		return fmt.Sprintf("%q", s)
	}
	return s
}

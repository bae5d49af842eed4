package drcommand

import (
	"fmt"
	"io"
	"sync"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drloghandler"
)

// setLogging writes events of at least the given level to standard error. Handler
// and level are those of the whole process.
func setLogging(env environment, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("%w: unknown log level %q", errUsage, level)
	}
	log.SetLevel(l)
	log.SetHandler(&textLogHandler{out: env.stderr})
	return nil
}

// textLogHandler writes each event as one line of key=value pairs. It is safe for
// concurrent use.
type textLogHandler struct {
	mu  sync.Mutex
	out io.Writer
}

// HandleLog implements log.Handler. It returns the error of the write.
func (h *textLogHandler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := fmt.Fprintln(h.out, drloghandler.Line(e))
	return err
}

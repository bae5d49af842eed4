package drnet

// discardLogger is a gnet logger that drops all messages. gnet logs each broken
// connection, of which the connection's owner learns from an error of Read or
// Write.
type discardLogger struct{}

// Debugf implements logging.Logger.
func (discardLogger) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (discardLogger) Infof(string, ...any) {}

// Warnf implements logging.Logger.
func (discardLogger) Warnf(string, ...any) {}

// Errorf implements logging.Logger.
func (discardLogger) Errorf(string, ...any) {}

// Fatalf implements logging.Logger.
func (discardLogger) Fatalf(string, ...any) {}

package drnet

// quiet is a gnet logger that drops everything: gnet logs each broken
// connection, which the connection's owner learns from its error.
type quiet struct{}

// Debugf implements logging.Logger.
func (quiet) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (quiet) Infof(string, ...any) {}

// Warnf implements logging.Logger.
func (quiet) Warnf(string, ...any) {}

// Errorf implements logging.Logger.
func (quiet) Errorf(string, ...any) {}

// Fatalf implements logging.Logger.
func (quiet) Fatalf(string, ...any) {}

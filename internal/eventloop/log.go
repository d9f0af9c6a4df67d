package eventloop

import "github.com/rs/zerolog"

// gnetLogger implements gnet's logging.Logger and writes to the program's log. Unlike other loggers it does not end the
// process on a fatal line, but logs it as an error: only errors at startup may end the process.
type gnetLogger struct{ log zerolog.Logger }

func (g gnetLogger) Debugf(string, ...any)             {}
func (g gnetLogger) Infof(format string, args ...any)  { g.log.Debug().Msgf(format, args...) }
func (g gnetLogger) Warnf(format string, args ...any)  { g.log.Warn().Msgf(format, args...) }
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Error().Msgf(format, args...) }
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error().Msgf(format, args...) }

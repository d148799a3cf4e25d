package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes JSON lines at or above the level named debug, info, warn
// or error. Any other name means info.
func NewLogger(w io.Writer, name string) log.Logger {
	var logger log.Logger = lineLogger{log.NewSyncWriter(w)}
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(name, level.InfoValue())))
}

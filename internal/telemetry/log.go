// Package telemetry sets up logs and metrics.
package telemetry

import (
	"io"

	"github.com/phuslu/log"
)

// NewLogger returns a logger that writes one line of key=value pairs for each event.
func NewLogger(w io.Writer, level, host string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("host", host).Value(),
		Writer:     &log.ConsoleWriter{Formatter: log.LogfmtFormatter{TimeField: "time"}.Formatter, Writer: w},
	}
}

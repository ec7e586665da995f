// Package logging sets up phuslu/log for the daemons. Each component logs short sentences
// with a fixed prefix.
package logging

import (
	"io"
	"os"

	"github.com/phuslu/log"
)

// Logger logs for one component with its prefix. The zero Logger discards all lines.
type Logger struct {
	base   *log.Logger
	prefix string
}

// Settings selects the level, format and destination of log lines.
type Settings struct {
	Level  string    // trace, debug, info, warn or error; default info
	Format string    // json or console; default console
	Writer io.Writer // default standard error
}

// New returns a Logger without a prefix.
func New(set Settings) Logger {
	if set.Writer == nil {
		set.Writer = os.Stderr
	}
	level := log.ParseLevel(set.Level)
	if set.Level == "" {
		level = log.InfoLevel
	}
	base := &log.Logger{Level: level, TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
	if set.Format == "json" {
		base.Writer = &log.IOWriter{Writer: set.Writer}
	} else {
		base.Writer = &log.ConsoleWriter{Writer: set.Writer}
	}
	return Logger{base: base}
}

// WithPrefix returns a Logger whose messages start with name and a colon.
func (l Logger) WithPrefix(name string) Logger {
	return Logger{base: l.base, prefix: name + ": "}
}

// Field is one key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// F returns a Field.
func F(key string, value any) Field {
	return Field{Key: key, Value: value}
}

// Info logs a normal event.
func (l Logger) Info(msg string, fields ...Field) {
	if l.base != nil {
		l.write(l.base.Info(), msg, fields)
	}
}

// Warn logs a condition that an operator may want to check.
func (l Logger) Warn(msg string, fields ...Field) {
	if l.base != nil {
		l.write(l.base.Warn(), msg, fields)
	}
}

// Error logs a failure that requires an operator.
func (l Logger) Error(msg string, fields ...Field) {
	if l.base != nil {
		l.write(l.base.Error(), msg, fields)
	}
}

// Debug logs details for troubleshooting.
func (l Logger) Debug(msg string, fields ...Field) {
	if l.base != nil {
		l.write(l.base.Debug(), msg, fields)
	}
}

func (l Logger) write(e *log.Entry, msg string, fields []Field) {
	for _, f := range fields {
		e = e.Any(f.Key, f.Value)
	}
	e.Msg(l.prefix + msg)
}

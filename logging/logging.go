// Package logging sets up phuslu/log for the daemons. Every part of the system
// logs short sentences behind a fixed prefix.
package logging

import (
	"io"
	"os"

	"github.com/phuslu/log"
)

// Logger logs for one part of the system. The zero Logger drops everything.
type Logger struct {
	base   *log.Logger
	prefix string
}

// Settings say where and how much to log.
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

// Part returns a Logger whose lines start with name.
func (l Logger) Part(name string) Logger {
	return Logger{base: l.base, prefix: name + ": "}
}

// Field is one named value of a line.
type Field struct {
	Key   string
	Value any
}

// F returns a Field.
func F(key string, value any) Field {
	return Field{Key: key, Value: value}
}

// Info logs an ordinary event.
func (l Logger) Info(msg string, fields ...Field) {
	if l.base != nil {
		l.write(l.base.Info(), msg, fields)
	}
}

// Warn logs something that an operator may want to look at.
func (l Logger) Warn(msg string, fields ...Field) {
	if l.base != nil {
		l.write(l.base.Warn(), msg, fields)
	}
}

// Error logs a failure that needs an operator.
func (l Logger) Error(msg string, fields ...Field) {
	if l.base != nil {
		l.write(l.base.Error(), msg, fields)
	}
}

// Debug logs detail.
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

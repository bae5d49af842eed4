package drtimeline

import (
	"fmt"
	"strings"
)

//go:generate go test -run TestReference -update .

// Level is the severity at which an event is logged.
type Level string

// Levels in ascending severity. Their values are those of the setting log-level.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Description documents one event name.
type Description struct {
	Name  string
	Level Level
	// Help is the meaning of the event, as shown in docs/events.md.
	Help string
}

// levelByEvent maps the name of each described event to its level.
var levelByEvent = func() map[string]Level {
	m := make(map[string]Level, len(Descriptions))
	for _, d := range Descriptions {
		m[d.Name] = d.Level
	}
	return m
}()

// LevelOf returns the level of the event with the given name. It returns false if
// Descriptions does not list the name.
func LevelOf(name string) (Level, bool) {
	level, ok := levelByEvent[name]
	return level, ok
}

// Reference returns the Markdown text of docs/events.md, which is generated from
// Descriptions.
func Reference() string {
	var b strings.Builder
	b.WriteString(`# Events

<!-- Generated from package drtimeline by go generate ./drtimeline. Do not edit. -->

Each event is one line of key=value pairs on standard error, if its level is at
least the setting ` + "`log-level`" + `, and one entry of the time line, whatever its level.
A line starts with time, level and event. The further keys are, as far as they
apply, request-id, account, model, backend (address or name of a backend
server), status (HTTP), reason (suffix of the problem type), took (a duration),
tokens, and detail with further key=value pairs. No line holds a key or a body.

| event | level | meaning |
| --- | --- | --- |
`)
	for _, d := range Descriptions {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", d.Name, d.Level, d.Help)
	}
	return b.String()
}

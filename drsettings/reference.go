package drsettings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/dotterelridge/dotterelridge/drjson"
)

// Reference returns the Markdown text of docs/settings.md, which is generated from the
// types of the settings, their doc tags and the defaults.
func Reference() string { return Page("serve", "drsettings", Default()) }

// Page returns the Markdown text of the reference page of a command's settings. The
// defaults are a struct with json and doc tags, and source is the name of its package.
func Page(command, source string, defaults any) string {
	var page strings.Builder
	fmt.Fprintf(&page, `# Settings of dotterelridge %s

<!-- Generated from package %s by go generate ./%s. Do not edit. -->

One file of JSON with comments (trailing commas allowed) per process. Unknown
members are errors. Durations have a unit ("500ms", "5s", "1h30m"); sizes are
bytes or have a unit ("512KiB", "32MiB", "1GB"). Values are never negative.

| member | type | default | meaning |
| --- | --- | --- | --- |
`, command, source, source)
	writeMembers(&page, "", reflect.ValueOf(defaults))
	return page.String()
}

// writeMembers writes one table row for each member of the settings, with the members
// of an object after the object. The prefix precedes the names of the members.
func writeMembers(page *strings.Builder, prefix string, settings reflect.Value) {
	for i := range settings.NumField() {
		field := settings.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fmt.Fprintf(page, "| `%s%s` | %s | %s | %s |\n", prefix, name, typeName(field.Type), defaultText(settings.Field(i)), field.Tag.Get("doc"))
		switch {
		case field.Type.Kind() == reflect.Struct:
			writeMembers(page, prefix+name+".", settings.Field(i))
		case field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			writeMembers(page, prefix+name+"[].", reflect.Zero(field.Type.Elem()))
		}
	}
}

// typeName returns the type that the page shows for a Go type.
func typeName(goType reflect.Type) string {
	switch goType {
	case reflect.TypeFor[drjson.Duration]():
		return "duration"
	case reflect.TypeFor[drjson.Size]():
		return "size"
	}
	switch goType.Kind() {
	case reflect.Struct:
		return "object"
	case reflect.Slice:
		return "list of " + typeName(goType.Elem()) + "s"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Float64:
		return "number"
	}
	return "string"
}

// defaultText returns a default as JSON in backquotes, or an empty string for objects
// and for zero values.
func defaultText(value reflect.Value) string {
	if value.IsZero() || value.Kind() == reflect.Struct {
		return ""
	}
	text, err := json.Marshal(value.Interface())
	if err != nil {
		return ""
	}
	return "`" + string(text) + "`"
}

package drsettings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/dotterelridge/dotterelridge/drjson"
)

// Reference returns docs/settings.md, made from the types and their doc tags.
func Reference() string { return Page("serve", "drsettings", Default()) }

// Page returns the reference page of a command's settings. defaults is a struct
// with json and doc tags; the package is named as the page's source.
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

// writeMembers writes one line per member, with nested members after their parent.
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

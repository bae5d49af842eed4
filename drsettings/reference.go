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
	var b strings.Builder
	fmt.Fprintf(&b, `# Settings of dotterelridge %s

<!-- Generated from package %s by go generate ./%s. Do not edit. -->

One file of JSON with comments (trailing commas allowed) per process. Unknown
members are errors. Durations have a unit ("500ms", "5s", "1h30m"); sizes are
bytes or have a unit ("512KiB", "32MiB", "1GB"). Values are never negative.

| member | type | default | meaning |
| --- | --- | --- | --- |
`, command, source, source)
	describe(&b, "", reflect.ValueOf(defaults))
	return b.String()
}

// describe writes one line per member, with nested members after their parent.
func describe(b *strings.Builder, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fmt.Fprintf(b, "| `%s%s` | %s | %s | %s |\n", prefix, name, typeName(f.Type), defaultOf(v.Field(i)), f.Tag.Get("doc"))
		switch {
		case f.Type.Kind() == reflect.Struct:
			describe(b, prefix+name+".", v.Field(i))
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			describe(b, prefix+name+"[].", reflect.Zero(f.Type.Elem()))
		}
	}
}

func typeName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[drjson.Duration]():
		return "duration"
	case reflect.TypeFor[drjson.Size]():
		return "size"
	}
	switch t.Kind() {
	case reflect.Struct:
		return "object"
	case reflect.Slice:
		return "list of " + typeName(t.Elem()) + "s"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Float64:
		return "number"
	}
	return "string"
}

func defaultOf(v reflect.Value) string {
	if v.IsZero() || v.Kind() == reflect.Struct {
		return ""
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return ""
	}
	return "`" + string(text) + "`"
}

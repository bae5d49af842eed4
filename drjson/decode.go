package drjson

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode stores the node in the value that into points to and returns every
// problem found. Struct members follow their json tags. An integer field with
// the tag unit:"bytes" also accepts a size with a unit. null is refused,
// because leaving out a member already means its default.
func (n Node) Decode(into any) []Problem {
	return n.decode(reflect.ValueOf(into).Elem(), "")
}

func (n Node) decode(v reflect.Value, unit string) []Problem {
	if u, ok := v.Addr().Interface().(json.Unmarshaler); ok {
		standard := n.value.Clone()
		standard.Minimize()
		if err := u.UnmarshalJSON(standard.Pack()); err != nil {
			return []Problem{n.Problem("%s", err)}
		}
		return nil
	}
	switch v.Kind() {
	case reflect.Struct:
		return n.decodeStruct(v)
	case reflect.Map:
		return n.decodeMap(v)
	case reflect.Slice:
		return n.decodeSlice(v)
	case reflect.Pointer:
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		return n.decode(v.Elem(), unit)
	default:
		return n.decodeLiteral(v, unit)
	}
}

func (n Node) decodeStruct(v reflect.Value) []Problem {
	members, ok := n.Members()
	if !ok {
		return []Problem{n.Problem("want an object, got %s", n.kind())}
	}
	fields, names := fieldsOf(v.Type())
	return n.eachMember(members, func(m Member) []Problem {
		i, ok := fields[m.Key]
		if !ok {
			p := m.Name.Problem("unknown field %q", m.Key)
			p.Suggestion = Closest(m.Key, names)
			return []Problem{p}
		}
		return m.Value.decode(v.Field(i), v.Type().Field(i).Tag.Get("unit"))
	})
}

func (n Node) decodeMap(v reflect.Value) []Problem {
	members, ok := n.Members()
	if !ok {
		return []Problem{n.Problem("want an object, got %s", n.kind())}
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(members)))
	return n.eachMember(members, func(m Member) []Problem {
		e := reflect.New(v.Type().Elem()).Elem()
		problems := m.Value.decode(e, "")
		v.SetMapIndex(reflect.ValueOf(m.Key).Convert(v.Type().Key()), e)
		return problems
	})
}

// eachMember visits members and reports repeated names.
func (n Node) eachMember(members []Member, visit func(Member) []Problem) []Problem {
	var problems []Problem
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		if seen[m.Key] {
			problems = append(problems, m.Name.Problem("field %q is given twice", m.Key))
			continue
		}
		seen[m.Key] = true
		problems = append(problems, visit(m)...)
	}
	return problems
}

func (n Node) decodeSlice(v reflect.Value) []Problem {
	if _, ok := n.value.Value.(*hujson.Array); !ok {
		return []Problem{n.Problem("want a list, got %s", n.kind())}
	}
	var problems []Problem
	nodes := n.Elements()
	v.Set(reflect.MakeSlice(v.Type(), len(nodes), len(nodes)))
	for i, e := range nodes {
		problems = append(problems, e.decode(v.Index(i), "")...)
	}
	return problems
}

func (n Node) decodeLiteral(v reflect.Value, unit string) []Problem {
	l, _ := n.value.Value.(hujson.Literal)
	text := string(l)
	switch v.Kind() {
	case reflect.String:
		if l.Kind() == '"' {
			v.SetString(l.String())
			return nil
		}
		return []Problem{n.Problem("want a string, got %s", n.kind())}
	case reflect.Bool:
		if text == "true" || text == "false" {
			v.SetBool(text == "true")
			return nil
		}
		return []Problem{n.Problem("want true or false, got %s", n.kind())}
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		if l.Kind() == '0' && err == nil {
			v.SetFloat(f)
			return nil
		}
		return []Problem{n.Problem("want a number, got %s", n.kind())}
	}
	if unit == "bytes" && l.Kind() == '"' {
		s, err := ParseSize(l.String())
		if err != nil {
			return []Problem{n.Problem("%s", err)}
		}
		v.SetInt(int64(s))
		return nil
	}
	i, err := strconv.ParseInt(text, 10, v.Type().Bits())
	if err != nil {
		return []Problem{n.Problem("want a whole number, got %s", n.kind())}
	}
	v.SetInt(i)
	return nil
}

// fieldsOf returns the index of each field by its JSON name, and the names in
// order of declaration.
func fieldsOf(t reflect.Type) (map[string]int, []string) {
	fields := make(map[string]int, t.NumField())
	var names []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
			names = append(names, name)
		}
	}
	return fields, names
}

package drjson

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode stores the node in the value that into points to and returns all
// problems found, or nil. Object members are matched with the json tags of
// struct fields. An integer field with the tag unit:"bytes" also accepts a
// string such as "32MiB". Decode rejects null, because a member that is left out
// already has its default; only a json.Unmarshaler decides on null itself.
// Decode goes on after a problem, so the value may then be partly set.
func (n Node) Decode(into any) []Problem {
	return n.decode(reflect.ValueOf(into).Elem(), "")
}

// decode stores the node in target, which must be addressable. unit is the unit
// tag of the struct field, or "".
func (n Node) decode(target reflect.Value, unit string) []Problem {
	if unmarshaler, ok := target.Addr().Interface().(json.Unmarshaler); ok {
		standard := n.value.Clone()
		standard.Minimize()
		if err := unmarshaler.UnmarshalJSON(standard.Pack()); err != nil {
			return []Problem{n.Problem("%s", err)}
		}
		return nil
	}
	switch target.Kind() {
	case reflect.Struct:
		return n.decodeStruct(target)
	case reflect.Map:
		return n.decodeMap(target)
	case reflect.Slice:
		return n.decodeSlice(target)
	case reflect.Pointer:
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		return n.decode(target.Elem(), unit)
	default:
		return n.decodeLiteral(target, unit)
	}
}

func (n Node) decodeStruct(target reflect.Value) []Problem {
	members, ok := n.Members()
	if !ok {
		return []Problem{n.Problem("want an object, got %s", n.kindName())}
	}
	fields, names := jsonFields(target.Type())
	return n.eachMember(members, func(m Member) []Problem {
		index, ok := fields[m.Key]
		if !ok {
			problem := m.Name.Problem("unknown field %q", m.Key)
			problem.Suggestion = Closest(m.Key, names)
			return []Problem{problem}
		}
		return m.Value.decode(target.Field(index), target.Type().Field(index).Tag.Get("unit"))
	})
}

func (n Node) decodeMap(target reflect.Value) []Problem {
	members, ok := n.Members()
	if !ok {
		return []Problem{n.Problem("want an object, got %s", n.kindName())}
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(members)))
	return n.eachMember(members, func(m Member) []Problem {
		element := reflect.New(target.Type().Elem()).Elem()
		problems := m.Value.decode(element, "")
		target.SetMapIndex(reflect.ValueOf(m.Key).Convert(target.Type().Key()), element)
		return problems
	})
}

// eachMember calls visit for the first member of each name and collects its
// problems. A further member of the same name is a problem itself.
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

func (n Node) decodeSlice(target reflect.Value) []Problem {
	if _, ok := n.value.Value.(*hujson.Array); !ok {
		return []Problem{n.Problem("want a list, got %s", n.kindName())}
	}
	var problems []Problem
	nodes := n.Elements()
	target.Set(reflect.MakeSlice(target.Type(), len(nodes), len(nodes)))
	for i, element := range nodes {
		problems = append(problems, element.decode(target.Index(i), "")...)
	}
	return problems
}

// decodeLiteral decodes a string, a boolean or a number. A target that is none
// of string, bool and float64 must be a signed integer.
func (n Node) decodeLiteral(target reflect.Value, unit string) []Problem {
	literal, _ := n.value.Value.(hujson.Literal)
	text := string(literal)
	switch target.Kind() {
	case reflect.String:
		if literal.Kind() == '"' {
			target.SetString(literal.String())
			return nil
		}
		return []Problem{n.Problem("want a string, got %s", n.kindName())}
	case reflect.Bool:
		if text == "true" || text == "false" {
			target.SetBool(text == "true")
			return nil
		}
		return []Problem{n.Problem("want true or false, got %s", n.kindName())}
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		if literal.Kind() == '0' && err == nil {
			target.SetFloat(f)
			return nil
		}
		return []Problem{n.Problem("want a number, got %s", n.kindName())}
	}
	if unit == "bytes" && literal.Kind() == '"' {
		size, err := ParseSize(literal.String())
		if err != nil {
			return []Problem{n.Problem("%s", err)}
		}
		target.SetInt(int64(size))
		return nil
	}
	i, err := strconv.ParseInt(text, 10, target.Type().Bits())
	if err != nil {
		return []Problem{n.Problem("want a whole number, got %s", n.kindName())}
	}
	target.SetInt(i)
	return nil
}

// jsonFields returns the index of each struct field by the name in its json tag,
// and these names in the order of declaration. It ignores fields without a name.
func jsonFields(structType reflect.Type) (map[string]int, []string) {
	fields := make(map[string]int, structType.NumField())
	var names []string
	for i := range structType.NumField() {
		name, _, _ := strings.Cut(structType.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
			names = append(names, name)
		}
	}
	return fields, names
}

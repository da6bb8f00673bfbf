package chart

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder fills a value from a syntax tree and records the line of each field,
// so that later checks can point at it too.
type decoder struct {
	data   []byte
	file   string
	lines  map[string]int
	faults []Fault

	// broken tells that nothing could be read, so that checks of the fields
	// would only add noise.
	broken bool
}

// Decode reads JSON with comments into the struct that the pointer refers to.
// Faults of the file are kept in the returned Checker, so that the caller can
// add its own checks and report all of them at once.
func Decode(file string, data []byte, into any) *Checker {
	d := &decoder{data: data, file: file, lines: make(map[string]int)}
	tree, err := hujson.Parse(data)
	if err != nil {
		d.fault(syntaxLine(err), "%s", syntaxReason(err))
		d.broken = true
		return &Checker{d}
	}
	_, isObject := tree.Value.(*hujson.Object)
	d.broken = !isObject
	d.value("", &tree, reflect.ValueOf(into).Elem())
	return &Checker{d}
}

func (d *decoder) fault(line int, format string, args ...any) {
	d.faults = append(d.faults, Fault{file: d.file, line: line, reason: fmt.Sprintf(format, args...)})
}

func (d *decoder) line(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

func (d *decoder) value(path string, v *hujson.Value, to reflect.Value) {
	line := d.line(v.StartOffset)
	d.lines[path] = line
	if to.CanAddr() {
		if _, ok := to.Addr().Interface().(json.Unmarshaler); ok {
			d.leaf(path, v, to)
			return
		}
	}
	switch to.Kind() {
	case reflect.Struct:
		d.object(path, v, to)
	case reflect.Slice:
		d.array(path, v, to)
	case reflect.Map:
		d.mapping(path, v, to)
	default:
		d.leaf(path, v, to)
	}
}

func (d *decoder) object(path string, v *hujson.Value, to reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(d.line(v.StartOffset), "%s: want an object", label(path))
		return
	}
	fields := make(map[string]reflect.Value)
	fieldsOf(to, fields)
	seen := make(map[string]bool)
	for i := range object.Members {
		m := &object.Members[i]
		name, line := memberName(m), d.line(m.Name.StartOffset)
		field, known := fields[name]
		switch {
		case !known:
			d.fault(line, "%s: unknown field", label(join(path, name)))
		case seen[name]:
			d.fault(line, "%s: field appears twice", label(join(path, name)))
		default:
			d.value(join(path, name), &m.Value, field)
		}
		seen[name] = true
	}
}

func (d *decoder) array(path string, v *hujson.Value, to reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(d.line(v.StartOffset), "%s: want an array", label(path))
		return
	}
	list := reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], list.Index(i))
	}
	to.Set(list)
}

func (d *decoder) mapping(path string, v *hujson.Value, to reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(d.line(v.StartOffset), "%s: want an object", label(path))
		return
	}
	entries := reflect.MakeMap(to.Type())
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		key := reflect.ValueOf(name).Convert(to.Type().Key())
		if entries.MapIndex(key).IsValid() {
			d.fault(d.line(m.Name.StartOffset), "%s: field appears twice", label(join(path, name)))
			continue
		}
		entry := reflect.New(to.Type().Elem()).Elem()
		d.value(join(path, name), &m.Value, entry)
		entries.SetMapIndex(key, entry)
	}
	to.Set(entries)
}

func (d *decoder) leaf(path string, v *hujson.Value, to reflect.Value) {
	standard := v.Clone()
	standard.Standardize()
	text := bytes.TrimSpace(standard.Pack())
	if bytes.Equal(text, []byte("null")) {
		d.fault(d.line(v.StartOffset), "%s: want a value, got null", label(path))
		return
	}
	if err := json.Unmarshal(text, to.Addr().Interface()); err != nil {
		d.fault(d.line(v.StartOffset), "%s: %s", label(path), leafReason(err, text, to))
	}
}

func leafReason(err error, text []byte, to reflect.Value) string {
	if _, ok := err.(*json.UnmarshalTypeError); !ok {
		return err.Error()
	}
	return fmt.Sprintf("want %s, got %s", kindName(to.Kind()), text)
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func fieldsOf(v reflect.Value, into map[string]reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			fieldsOf(v.Field(i), into)
			continue
		}
		if name := field.Tag.Get("json"); name != "" {
			into[name] = v.Field(i)
		}
	}
}

func memberName(m *hujson.ObjectMember) string {
	literal, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func label(path string) string {
	if path == "" {
		return "file"
	}
	return path
}

// syntaxLine returns the line of a syntax error, which the library reports as
// "hujson: line 3, column 4: reason".
func syntaxLine(err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return 1
	}
	return line
}

func syntaxReason(err error) string {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, reason, ok := strings.Cut(text, ": "); ok {
		return reason
	}
	return text
}

package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder fills a value from a JSON syntax tree and records the line of each
// field, so that the Checker can report it.
type decoder struct {
	data   []byte
	file   string
	lines  map[string]int
	faults []Fault

	// unreadable is set if the file has a syntax error or is not an object.
	// The fields are then not checked, because each would be reported as
	// missing.
	unreadable bool
}

// Decode reads JSON with comments into the struct that the pointer refers to.
// Fields that the file does not contain keep their values. Faults are collected
// in the returned Checker, so that the caller can add its own checks and report
// all faults at once.
func Decode(file string, data []byte, into any) *Checker {
	d := &decoder{data: data, file: file, lines: make(map[string]int)}
	tree, err := hujson.Parse(data)
	if err != nil {
		d.addFault(syntaxLine(err), "%s", syntaxReason(err))
		d.unreadable = true
		return &Checker{d}
	}
	_, isObject := tree.Value.(*hujson.Object)
	d.unreadable = !isObject
	d.decodeValue("", &tree, reflect.ValueOf(into).Elem())
	return &Checker{d}
}

func (d *decoder) addFault(line int, format string, args ...any) {
	d.faults = append(d.faults, Fault{file: d.file, line: line, reason: fmt.Sprintf(format, args...)})
}

func (d *decoder) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

// decodeValue decodes according to the type of the target. Types that implement
// json.Unmarshaler are decoded as a whole.
func (d *decoder) decodeValue(path string, v *hujson.Value, to reflect.Value) {
	line := d.lineAt(v.StartOffset)
	d.lines[path] = line
	if to.CanAddr() {
		if _, ok := to.Addr().Interface().(json.Unmarshaler); ok {
			d.decodeLeaf(path, v, to)
			return
		}
	}
	switch to.Kind() {
	case reflect.Struct:
		d.decodeObject(path, v, to)
	case reflect.Slice:
		d.decodeArray(path, v, to)
	case reflect.Map:
		d.decodeMap(path, v, to)
	default:
		d.decodeLeaf(path, v, to)
	}
}

func (d *decoder) decodeObject(path string, v *hujson.Value, to reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFault(d.lineAt(v.StartOffset), "%s: want an object", pathLabel(path))
		return
	}
	fields := make(map[string]reflect.Value)
	collectFields(to, fields)
	seen := make(map[string]bool)
	for i := range object.Members {
		m := &object.Members[i]
		name, line := memberName(m), d.lineAt(m.Name.StartOffset)
		field, known := fields[name]
		switch {
		case !known:
			d.addFault(line, "%s: unknown field", pathLabel(joinPath(path, name)))
		case seen[name]:
			d.addFault(line, "%s: field appears twice", pathLabel(joinPath(path, name)))
		default:
			d.decodeValue(joinPath(path, name), &m.Value, field)
		}
		seen[name] = true
	}
}

func (d *decoder) decodeArray(path string, v *hujson.Value, to reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addFault(d.lineAt(v.StartOffset), "%s: want an array", pathLabel(path))
		return
	}
	list := reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], list.Index(i))
	}
	to.Set(list)
}

func (d *decoder) decodeMap(path string, v *hujson.Value, to reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFault(d.lineAt(v.StartOffset), "%s: want an object", pathLabel(path))
		return
	}
	entries := reflect.MakeMap(to.Type())
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		key := reflect.ValueOf(name).Convert(to.Type().Key())
		if entries.MapIndex(key).IsValid() {
			d.addFault(d.lineAt(m.Name.StartOffset), "%s: field appears twice", pathLabel(joinPath(path, name)))
			continue
		}
		entry := reflect.New(to.Type().Elem()).Elem()
		d.decodeValue(joinPath(path, name), &m.Value, entry)
		entries.SetMapIndex(key, entry)
	}
	to.Set(entries)
}

// decodeLeaf decodes a value with encoding/json after removing comments and
// trailing commas. It rejects null, which encoding/json would ignore.
func (d *decoder) decodeLeaf(path string, v *hujson.Value, to reflect.Value) {
	plain := v.Clone()
	plain.Standardize()
	text := bytes.TrimSpace(plain.Pack())
	if bytes.Equal(text, []byte("null")) {
		d.addFault(d.lineAt(v.StartOffset), "%s: want a value, got null", pathLabel(path))
		return
	}
	if err := json.Unmarshal(text, to.Addr().Interface()); err != nil {
		d.addFault(d.lineAt(v.StartOffset), "%s: %s", pathLabel(path), typeErrorReason(err, text, to))
	}
}

func typeErrorReason(err error, text []byte, to reflect.Value) string {
	if _, ok := err.(*json.UnmarshalTypeError); !ok {
		return err.Error()
	}
	return fmt.Sprintf("want %s, got %s", kindLabel(to.Kind()), text)
}

func kindLabel(kind reflect.Kind) string {
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

// collectFields maps the json tags of a struct to its fields, including those
// of embedded structs.
func collectFields(v reflect.Value, into map[string]reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			collectFields(v.Field(i), into)
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func pathLabel(path string) string {
	if path == "" {
		return "file"
	}
	return path
}

// syntaxLine returns the line of a syntax error, which hujson reports as
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

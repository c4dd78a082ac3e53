package policy

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// optionalFields may be missing although they have no omitempty tag. The
// revision is set when a change is applied.
var optionalFields = []string{"revision", "exceptions"}

// shape compares the tokens of a JSON text with a Go type. encoding/json alone
// accepts repeated and missing fields and names in another case, and it stops
// at the first unknown field.
type shape struct {
	decoder  *json.Decoder
	problems Problems
	depth    int
}

// maxDepth bounds the recursion on hostile input. A document nests four levels.
const maxDepth = 32

// checkShape returns all differences between the text and the type.
func checkShape(data []byte, typ reflect.Type) error {
	s := &shape{decoder: json.NewDecoder(bytes.NewReader(data))}
	s.decoder.UseNumber()
	if err := s.value("", typ); err != nil {
		s.problems.add("", fmt.Sprintf("%v at offset %d", err, s.decoder.InputOffset()), "well-formed JSON")
		return s.problems
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		s.problems.add("", fmt.Sprintf("data after offset %d", s.decoder.InputOffset()), "nothing after the document")
	}
	return s.problems.orNil()
}

// value consumes one value. A nil type skips it.
func (s *shape) value(path string, typ reflect.Type) error {
	s.depth++
	defer func() { s.depth-- }()
	if s.depth > maxDepth {
		return errors.Newf("nesting deeper than %d levels", maxDepth)
	}
	token, err := s.decoder.Token()
	if err != nil {
		return err
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return s.object(path, typ)
		}
		return s.array(path, typ)
	case json.Number:
		s.number(path, token.String(), typ)
	case string:
		s.text(path, token, typ)
	default: // true, false and null
		if typ != nil && (typ.Kind() != reflect.Bool || token == nil) {
			s.problems.add(path, jsonText(token), accepted(typ))
		}
	}
	return nil
}

func (s *shape) object(path string, typ reflect.Type) error {
	fields := map[string]reflect.StructField{}
	if typ != nil {
		if isObject(typ) {
			fields = jsonFields(typ)
		} else {
			s.problems.add(path, "an object", accepted(typ))
			typ = nil
		}
	}
	seen := map[string]bool{}
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if err := s.member(path, name, typ, fields, seen); err != nil {
			return err
		}
	}
	if _, err := s.decoder.Token(); err != nil {
		return err // a truncated object does not tell which fields are missing
	}
	if typ != nil {
		s.missing(path, fields, seen)
	}
	return nil
}

func (s *shape) member(path, name string, typ reflect.Type, fields map[string]reflect.StructField, seen map[string]bool) error {
	field, known := fields[name]
	inner := join(path, name)
	switch {
	case typ == nil:
		return s.value(inner, nil)
	case !known:
		s.problems.add(inner, "an unknown field", "one of "+strings.Join(sortedKeys(fields), ", "))
		return s.value(inner, nil)
	case seen[name]:
		s.problems.add(inner, "a repeated field", "each field once")
	}
	seen[name] = true
	return s.value(inner, field.Type)
}

func (s *shape) missing(path string, fields map[string]reflect.StructField, seen map[string]bool) {
	for _, name := range sortedKeys(fields) {
		tag := fields[name].Tag.Get("json")
		if seen[name] || strings.Contains(tag, ",omit") || slices.Contains(optionalFields, name) {
			continue
		}
		s.problems.add(join(path, name), "a missing field", accepted(fields[name].Type))
	}
}

func (s *shape) array(path string, typ reflect.Type) error {
	var element reflect.Type
	if typ != nil {
		if typ.Kind() == reflect.Slice {
			element = typ.Elem()
		} else {
			s.problems.add(path, "a list", accepted(typ))
		}
	}
	for i := 0; s.decoder.More(); i++ {
		if err := s.value(fmt.Sprintf("%s[%d]", path, i), element); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *shape) number(path, text string, typ reflect.Type) {
	if typ == nil {
		return
	}
	var err error
	switch typ.Kind() {
	case reflect.Int:
		_, err = strconv.ParseInt(text, 10, strconv.IntSize)
	case reflect.Uint64:
		_, err = strconv.ParseUint(text, 10, 64)
	case reflect.Float64:
		_, err = strconv.ParseFloat(text, 64)
	default:
		err = strconv.ErrSyntax
	}
	if err != nil {
		s.problems.add(path, text, accepted(typ))
	}
}

func (s *shape) text(path, text string, typ reflect.Type) {
	if typ == nil || typ.Kind() == reflect.String {
		return
	}
	if isText(typ) {
		target, _ := reflect.New(typ).Interface().(encoding.TextUnmarshaler)
		if target.UnmarshalText([]byte(text)) == nil {
			return
		}
	}
	s.problems.add(path, strconv.Quote(text), accepted(typ))
}

func isText(typ reflect.Type) bool {
	return reflect.PointerTo(typ).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func isObject(typ reflect.Type) bool { return typ.Kind() == reflect.Struct && !isText(typ) }

// accepted describes the values of a type to an operator.
func accepted(typ reflect.Type) string {
	switch {
	case isText(typ):
		return "a time such as 2026-01-31T18:00:00Z"
	case isObject(typ):
		return "an object"
	case typ.Kind() == reflect.Slice:
		return "a list"
	case typ.Kind() == reflect.String:
		return "a text"
	case typ.Kind() == reflect.Bool:
		return "true or false"
	case typ.Kind() == reflect.Float64:
		return "a finite number"
	case typ.Kind() == reflect.Uint64:
		return "a whole number from 0 to 18446744073709551615"
	default:
		return "a whole number"
	}
}

func jsonFields(typ reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for i := range typ.NumField() {
		field := typ.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field
	}
	return fields
}

func jsonText(token any) string {
	if token == nil {
		return "null"
	}
	return fmt.Sprint(token)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

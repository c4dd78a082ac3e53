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

// schemaChecker compares the tokens of a JSON text with a Go type. encoding/json
// alone accepts repeated and missing fields and names that differ in case, and it
// stops at the first unknown field.
type schemaChecker struct {
	decoder  *json.Decoder
	problems Problems
	depth    int
}

// maxDepth limits the recursion on malicious input. A valid document nests four
// levels deep.
const maxDepth = 32

// checkSchema returns all differences between the JSON text and the type.
func checkSchema(data []byte, typ reflect.Type) error {
	s := &schemaChecker{decoder: json.NewDecoder(bytes.NewReader(data))}
	s.decoder.UseNumber()
	if err := s.checkValue("", typ); err != nil {
		s.problems.add("", fmt.Sprintf("%v at offset %d", err, s.decoder.InputOffset()), "well-formed JSON")
		return s.problems
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		s.problems.add("", fmt.Sprintf("data after offset %d", s.decoder.InputOffset()), "nothing after the document")
	}
	return s.problems.orNil()
}

// checkValue consumes one value and checks it against the type. A nil type skips the
// check.
func (s *schemaChecker) checkValue(path string, typ reflect.Type) error {
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
			return s.checkObject(path, typ)
		}
		return s.checkArray(path, typ)
	case json.Number:
		s.checkNumber(path, token.String(), typ)
	case string:
		s.checkString(path, token, typ)
	default: // true, false and null
		if typ != nil && (typ.Kind() != reflect.Bool || token == nil) {
			s.problems.add(path, formatToken(token), describeType(typ))
		}
	}
	return nil
}

func (s *schemaChecker) checkObject(path string, typ reflect.Type) error {
	fields := map[string]reflect.StructField{}
	if typ != nil {
		if isObject(typ) {
			fields = jsonFields(typ)
		} else {
			s.problems.add(path, "an object", describeType(typ))
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
		if err := s.checkMember(path, name, typ, fields, seen); err != nil {
			return err
		}
	}
	if _, err := s.decoder.Token(); err != nil {
		return err // which fields are missing is unknown if the object is truncated
	}
	if typ != nil {
		s.reportMissing(path, fields, seen)
	}
	return nil
}

func (s *schemaChecker) checkMember(path, name string, typ reflect.Type, fields map[string]reflect.StructField, seen map[string]bool) error {
	field, known := fields[name]
	inner := joinPath(path, name)
	switch {
	case typ == nil:
		return s.checkValue(inner, nil)
	case !known:
		s.problems.add(inner, "an unknown field", "one of "+strings.Join(sortedKeys(fields), ", "))
		return s.checkValue(inner, nil)
	case seen[name]:
		s.problems.add(inner, "a repeated field", "each field once")
	}
	seen[name] = true
	return s.checkValue(inner, field.Type)
}

func (s *schemaChecker) reportMissing(path string, fields map[string]reflect.StructField, seen map[string]bool) {
	for _, name := range sortedKeys(fields) {
		tag := fields[name].Tag.Get("json")
		if seen[name] || strings.Contains(tag, ",omit") || slices.Contains(optionalFields, name) {
			continue
		}
		s.problems.add(joinPath(path, name), "a missing field", describeType(fields[name].Type))
	}
}

func (s *schemaChecker) checkArray(path string, typ reflect.Type) error {
	var element reflect.Type
	if typ != nil {
		if typ.Kind() == reflect.Slice {
			element = typ.Elem()
		} else {
			s.problems.add(path, "a list", describeType(typ))
		}
	}
	for i := 0; s.decoder.More(); i++ {
		if err := s.checkValue(fmt.Sprintf("%s[%d]", path, i), element); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *schemaChecker) checkNumber(path, text string, typ reflect.Type) {
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
		s.problems.add(path, text, describeType(typ))
	}
}

func (s *schemaChecker) checkString(path, text string, typ reflect.Type) {
	if typ == nil || typ.Kind() == reflect.String {
		return
	}
	if unmarshalsText(typ) {
		target, _ := reflect.New(typ).Interface().(encoding.TextUnmarshaler)
		if target.UnmarshalText([]byte(text)) == nil {
			return
		}
	}
	s.problems.add(path, strconv.Quote(text), describeType(typ))
}

func unmarshalsText(typ reflect.Type) bool {
	return reflect.PointerTo(typ).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func isObject(typ reflect.Type) bool { return typ.Kind() == reflect.Struct && !unmarshalsText(typ) }

// describeType describes the accepted values of a type to an operator.
func describeType(typ reflect.Type) string {
	switch {
	case unmarshalsText(typ):
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

func formatToken(token any) string {
	if token == nil {
		return "null"
	}
	return fmt.Sprint(token)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

package static

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"sort"
	"strings"
)

// Load reads, decodes and checks a settings file. The error is an *Error.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		found := &problems{}
		found.add(BadValue, "--settings", path, "name a readable file ("+err.Error()+")")
		return Settings{}, found.err()
	}
	return Parse(raw)
}

// Parse decodes and checks settings and sets defaults. The error is an *Error with every problem
// found.
func Parse(raw []byte) (Settings, error) {
	var s Settings
	found := &problems{}
	decode(raw, reflect.ValueOf(&s).Elem(), "", false, found)
	if len(found.list) > 0 && found.list[0].Kind == BadSyntax {
		return Settings{}, found.err()
	}
	s = s.WithDefaults()
	s.check(found)
	return s, found.err()
}

// decode decodes one value. Objects are decoded field by field, so that an invalid field doesn't
// hide further problems, as it would with a single json.Unmarshal. The value of a secret isn't
// included in a problem.
func decode(raw json.RawMessage, into reflect.Value, path string, secret bool, found *problems) {
	switch {
	case into.Kind() == reflect.Struct:
		decodeObject(raw, into, path, found)
	case into.Kind() == reflect.Slice && into.Type().Elem().Kind() == reflect.Struct:
		decodeList(raw, into, path, found)
	default:
		if err := json.Unmarshal(raw, into.Addr().Interface()); err != nil {
			found.add(BadType, path, displayValue(raw, secret), "give "+withArticle(into.Type()))
		}
	}
}

func decodeObject(raw json.RawMessage, into reflect.Value, path string, found *problems) {
	var given map[string]json.RawMessage
	if err := json.Unmarshal(raw, &given); err != nil {
		if path == "" {
			found.add(BadSyntax, "", "", "give one JSON object ("+err.Error()+")")
			return
		}
		found.add(BadType, path, displayValue(raw, false), "give an object")
		return
	}
	known := make([]string, 0, into.NumField())
	for i := range into.NumField() {
		field := into.Type().Field(i)
		name := field.Tag.Get("json")
		known = append(known, name)
		value, ok := given[name]
		if !ok || isBlank(value) {
			if field.Tag.Get("check") == "required" {
				found.add(MissingField, join(path, name), "", "give "+withArticle(field.Type))
			}
			continue
		}
		decode(value, into.Field(i), join(path, name), field.Tag.Get("check") == "secret", found)
	}
	reportUnknown(given, known, path, found)
}

// isBlank reports whether a value is null or the empty string, which count as missing.
func isBlank(raw json.RawMessage) bool {
	return string(raw) == "null" || string(raw) == `""`
}

func reportUnknown(given map[string]json.RawMessage, known []string, path string, found *problems) {
	var unknown []string
	for name := range given {
		if !slices.Contains(known, name) {
			unknown = append(unknown, name)
		}
	}
	sort.Strings(unknown)
	for _, name := range unknown {
		found.add(UnknownField, join(path, name), "", "remove it; fields here are "+strings.Join(known, ", "))
	}
}

func decodeList(raw json.RawMessage, into reflect.Value, path string, found *problems) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		found.add(BadType, path, displayValue(raw, false), "give a list of objects")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i, item := range items {
		decode(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i), false, found)
	}
	into.Set(list)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func displayValue(raw json.RawMessage, secret bool) string {
	if secret {
		return "(not shown)"
	}
	return string(raw)
}

func withArticle(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	}
	return "a " + t.String()
}

package check

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/go-faster/errors"

	"heatherlock/api"
	"heatherlock/api/oas"
)

// Kinds lists all kinds in the order in which objects are applied: an object comes after the
// objects that it refers to.
var Kinds = []oas.Kind{
	oas.KindService, oas.KindPlace, oas.KindClientBlocks,
	oas.KindShift, oas.KindCap, oas.KindPlannedStop,
}

// schemas loads the embedded schema on first use. It disallows unknown fields: a misspelled field
// would otherwise be ignored silently and its default would take effect.
var schemas = sync.OnceValue(func() openapi3.Schemas {
	doc, err := openapi3.NewLoader().LoadFromData(api.OpenAPI)
	if err != nil {
		panic(errors.Wrap(err, "check: embedded schema"))
	}
	no := false
	for _, ref := range doc.Components.Schemas {
		if ref.Value.Type.Is(openapi3.TypeObject) {
			ref.Value.AdditionalProperties.Has = &no
		}
	}
	return doc.Components.Schemas
})

// Schema returns the schema of a kind, or nil if the kind is unknown.
func Schema(kind string) *openapi3.Schema {
	if !slices.Contains(Kinds, oas.Kind(kind)) {
		return nil
	}
	return schemas()[kind].Value
}

// Decode decodes one JSON object and checks it against the schema and the rules that concern it
// alone. The returned object is valid only if there are no problems.
func Decode(raw []byte) (oas.Object, Problems) {
	object := oas.Object{}
	ref, problems := validate(raw)
	if len(problems) > 0 {
		return object, merge(problems)
	}
	if err := object.UnmarshalJSON(raw); err != nil {
		report{ref, &problems}.invalid("", "correct the value", "cannot be read: %v", err)
		return object, problems
	}
	return object, merge(CheckObject(object))
}

// validate checks raw JSON against the schema of the kind in its "kind" field.
func validate(raw []byte) (Ref, Problems) {
	problems := Problems{}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		report{Ref{}, &problems}.invalid("", "send one JSON object", "is not JSON: %v", err)
		return Ref{}, problems
	}
	fields, ok := value.(map[string]any)
	if !ok {
		report{Ref{}, &problems}.invalid("", "send one JSON object", "is not a JSON object")
		return Ref{}, problems
	}
	kind, _ := fields["kind"].(string)
	schema := Schema(kind)
	if schema == nil {
		report{Ref{}, &problems}.invalid("kind", "use one of "+kindList(), "%q is not a kind", truncate(kind))
		return Ref{}, problems
	}
	ref := Ref{Kind: oas.Kind(kind), Name: metadataName(fields)}
	err := schema.VisitJSON(value, openapi3.MultiErrors())
	addSchemaErrors(report{ref, &problems}, err)
	return ref, problems
}

// metadataName returns metadata.name, truncated for use in messages, or "" if it is missing.
func metadataName(fields map[string]any) string {
	metadata, _ := fields["metadata"].(map[string]any)
	name, _ := metadata["name"].(string)
	return truncate(name)
}

// addSchemaErrors converts the schema validator's errors to problems.
func addSchemaErrors(r report, err error) {
	switch e := err.(type) {
	case nil:
	case openapi3.MultiError:
		for _, one := range e {
			addSchemaErrors(r, one)
		}
	case *openapi3.SchemaError:
		r.invalid(fieldPath(e.JSONPointer()), remedyOf(e), "%s", e.Reason)
	default:
		r.invalid("", "correct the value", "%v", err)
	}
}

// fieldPath formats the JSON pointer [spec targets 0 slots] as spec.targets[0].slots.
func fieldPath(pointer []string) string {
	var b strings.Builder
	for _, part := range pointer {
		if _, err := strconv.Atoi(part); err == nil {
			fmt.Fprintf(&b, "[%s]", part)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(truncate(part))
	}
	return b.String()
}

func remedyOf(e *openapi3.SchemaError) string {
	switch e.SchemaField {
	case "required":
		return "add the field"
	case "properties":
		return "remove it, or use one of " + strings.Join(fieldNames(e.Schema), ", ")
	case "enum":
		return fmt.Sprintf("use one of %v", e.Schema.Enum)
	case "type":
		return "give a value of type " + strings.Join(e.Schema.Type.Slice(), " or ")
	case "pattern":
		return "use at most 63 lower-case letters, digits, dots and dashes, with a letter or digit at both ends"
	}
	return "give a value that the schema allows; `heatherlock explain` prints it"
}

// fieldNames returns the names of a schema's fields, sorted.
func fieldNames(schema *openapi3.Schema) []string {
	names := make([]string, 0, len(schema.Properties))
	for name := range schema.Properties {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func kindList() string {
	names := make([]string, len(Kinds))
	for i, kind := range Kinds {
		names[i] = string(kind)
	}
	return strings.Join(names, ", ")
}

// maxEchoBytes is the maximum number of bytes of input that a message repeats.
const maxEchoBytes = 80

// truncate shortens s to at most maxEchoBytes, plus an ellipsis, for use in a message.
func truncate(s string) string {
	if len(s) <= maxEchoBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxEchoBytes], "") + "..."
}

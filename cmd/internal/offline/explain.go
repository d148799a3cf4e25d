package offline

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/integrii/flaggy"

	"heatherlock/api/check"
	"heatherlock/cmd/internal/command"
)

// Explain returns the subcommand that prints the schema of a kind or field.
func Explain() command.Command {
	return command.Command{
		Name:    "explain",
		Summary: "print what a kind or field means: explain KIND[.FIELD...]",
		Declare: func(sub *flaggy.Subcommand) command.Run {
			var path string
			sub.AddPositionalValue(&path, "KIND[.FIELD]", 1, false, "for example Shift or Shift.spec.percent; every kind when left out")
			return func(_ context.Context, io command.IO) error { return runExplain(path, io) }
		},
	}
}

func runExplain(path string, io command.IO) error {
	if path == "" {
		for _, kind := range check.Kinds {
			fmt.Fprintf(io.Out, "%-14s %s\n", kind, check.Schema(string(kind)).Description)
		}
		return nil
	}
	parts := strings.Split(path, ".")
	kind, ok := LookupKind(parts[0])
	if !ok {
		return command.Failf(command.Usage, "use one of "+kindList(), "%q is not a kind", parts[0])
	}
	schema := check.Schema(kind)
	required := false
	for i, part := range parts[1:] {
		for schema.Type.Is(openapi3.TypeArray) {
			schema = schema.Items.Value
		}
		next, found := schema.Properties[part]
		if !found {
			at := strings.Join(parts[:i+1], ".")
			return command.Failf(command.Usage, "use one of "+strings.Join(propertyNames(schema), ", "), "%s has no field %q", at, part)
		}
		required = slices.Contains(schema.Required, part)
		schema = next.Value
	}
	printField(io.Out, path, schema, required)
	return nil
}

func printField(out io.Writer, path string, schema *openapi3.Schema, required bool) {
	fmt.Fprintf(out, "%s  <%s>%s\n", path, typeName(schema), requiredSuffix(required))
	if schema.Description != "" {
		fmt.Fprintf(out, "  %s\n", schema.Description)
	}
	for _, line := range constraints(schema) {
		fmt.Fprintf(out, "  %s\n", line)
	}
	for schema.Type.Is(openapi3.TypeArray) {
		schema = schema.Items.Value
	}
	if len(schema.Properties) == 0 {
		return
	}
	fmt.Fprintln(out, "fields:")
	for _, name := range propertyNames(schema) {
		field := schema.Properties[name].Value
		fmt.Fprintf(out, "  %-22s <%s>%s  %s\n", name, typeName(field), requiredSuffix(slices.Contains(schema.Required, name)), field.Description)
	}
}

func requiredSuffix(required bool) string {
	if required {
		return " (required)"
	}
	return ""
}

func typeName(schema *openapi3.Schema) string {
	if schema.Type.Is(openapi3.TypeArray) {
		return "list of " + typeName(schema.Items.Value)
	}
	name := strings.Join(schema.Type.Slice(), "|")
	if schema.Format == "date-time" {
		return "time, RFC 3339"
	}
	return name
}

// constraints describes the values that a schema allows, one constraint per line.
func constraints(schema *openapi3.Schema) []string {
	var lines []string
	if len(schema.Enum) > 0 {
		lines = append(lines, fmt.Sprintf("one of: %v", schema.Enum))
	}
	if schema.Min != nil {
		lines = append(lines, fmt.Sprintf("at least: %v", int64(*schema.Min)))
	}
	if schema.Max != nil {
		lines = append(lines, fmt.Sprintf("at most: %v", int64(*schema.Max)))
	}
	if schema.Default != nil {
		lines = append(lines, fmt.Sprintf("when left out: %v", schema.Default))
	}
	if schema.Pattern != "" {
		lines = append(lines, "pattern: "+schema.Pattern)
	}
	return lines
}

func propertyNames(schema *openapi3.Schema) []string {
	names := make([]string, 0, len(schema.Properties))
	for name := range schema.Properties {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// LookupKind returns the kind with the given name and reports whether there is one. It ignores
// case and a plural "s".
func LookupKind(name string) (string, bool) {
	name = strings.ToLower(name)
	for _, kind := range check.Kinds {
		lower := strings.ToLower(string(kind))
		if name == lower || name == lower+"s" || name+"s" == lower {
			return string(kind), true
		}
	}
	return "", false
}

func kindList() string {
	names := make([]string, len(check.Kinds))
	for i, kind := range check.Kinds {
		names[i] = string(kind)
	}
	return strings.Join(names, ", ")
}

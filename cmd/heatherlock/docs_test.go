package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/integrii/flaggy"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/api/check"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
	"heatherlock/node/operator"
	"heatherlock/node/static"
	"heatherlock/steering"
)

const (
	root         = "../.."
	referenceDir = root + "/docs/reference"
	// generatedBy is printed at the top of each generated page.
	generatedBy = "This page is written from the code by `go test ./cmd/heatherlock -update` and checked by the same test.\n\n"
)

// checkPage compares a reference page with the text generated from the code. With
// -update it writes the page first.
func checkPage(t *testing.T, name, want string) {
	t.Helper()
	file := filepath.Join(referenceDir, name)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(file, []byte(want), 0o644))
	}
	got, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want, "%s is stale; run go test ./cmd/heatherlock -update", name)
}

func cell(text string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", "\\|")
}

func TestPageOfSettings(t *testing.T) {
	comments := fieldComments(t, root+"/node/static/settings.go")
	var b strings.Builder
	b.WriteString("# Settings of `heatherlockd`\n\n" + generatedBy)
	b.WriteString("`heatherlockd --settings FILE` reads them once, at start, and reports every problem of the file at once.\n\n")
	b.WriteString("| setting | type | when left out | meaning |\n|---|---|---|---|\n")
	defaults := static.Settings{}.WithDefaults()
	writeSettings(t, &b, comments, "", reflect.ValueOf(defaults))
	checkPage(t, "settings.md", b.String())
}

// writeSettings writes one table row per setting, recursing into nested structs.
func writeSettings(t *testing.T, b *strings.Builder, comments map[string]string, path string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := path + strings.Split(field.Tag.Get("json"), ",")[0]
		comment := meaningOf(field.Name, comments[v.Type().Name()+"."+field.Name])
		value := v.Field(i)
		switch {
		case value.Kind() == reflect.Struct:
			writeSettings(t, b, comments, name+".", value)
			continue
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			writeSettings(t, b, comments, name+"[].", reflect.New(value.Type().Elem()).Elem())
			continue
		}
		fallback := "empty"
		if !value.IsZero() {
			fallback = fmt.Sprintf("`%v`", value.Interface())
		}
		if strings.Contains(field.Tag.Get("check"), "required") {
			fallback = "**required**"
		}
		if strings.Contains(field.Tag.Get("check"), "secret") {
			comment = strings.TrimSpace(comment + " Never logged.")
		}
		assert.Assert(t, comment != "", "%s has no comment in settings.go", name)
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", name, kindName(value.Type()), fallback, cell(comment))
	}
}

// meaningOf returns a field's comment without the name that it starts with.
func meaningOf(name, comment string) string {
	comment = strings.TrimSpace(comment)
	for _, verb := range []string{" is ", " bounds "} {
		if rest, ok := strings.CutPrefix(comment, name+verb); ok {
			return strings.TrimSpace(strings.TrimPrefix(verb, " is ") + " " + rest)
		}
	}
	return strings.TrimPrefix(comment, name+" ")
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		return "list of " + kindName(t.Elem())
	case reflect.Int, reflect.Int64:
		return "integer"
	}
	return t.Kind().String()
}

// fieldComments returns the comments of the struct fields in a file, by
// "Type.Field".
func fieldComments(t *testing.T, file string) map[string]string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	assert.NilError(t, err)
	comments := map[string]string{}
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		fields, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		for _, field := range fields.Fields.List {
			for _, name := range field.Names {
				comments[spec.Name.Name+"."+name.Name] = field.Doc.Text() + " " + field.Comment.Text()
			}
		}
		return true
	})
	return comments
}

func TestPageOfObjects(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Objects\n\n" + generatedBy)
	b.WriteString("`heatherlock explain KIND[.FIELD]` prints the same. Unknown fields are refused.\n")
	for _, kind := range check.Kinds {
		schema := check.Schema(string(kind))
		fmt.Fprintf(&b, "\n## %s\n\n%s Conditions: %s.\n\n", kind, schema.Description, strings.Join(operator.Conditions[kind], ", "))
		b.WriteString("| field | type | limits | meaning |\n|---|---|---|---|\n")
		writeFields(&b, "spec", schema.Properties["spec"].Value)
	}
	checkPage(t, "objects.md", b.String())
}

func writeFields(b *strings.Builder, path string, schema *openapi3.Schema) {
	var names []string
	for name := range schema.Properties {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		field, at := schema.Properties[name].Value, path+"."+name
		var limits []string
		if slices.Contains(schema.Required, name) {
			limits = append(limits, "**required**")
		}
		if len(field.Enum) > 0 {
			limits = append(limits, fmt.Sprintf("one of %v", field.Enum))
		}
		if field.Min != nil {
			limits = append(limits, fmt.Sprintf("at least %d", int64(*field.Min)))
		}
		if field.Max != nil {
			limits = append(limits, fmt.Sprintf("at most %d", int64(*field.Max)))
		}
		if field.Default != nil {
			limits = append(limits, fmt.Sprintf("`%v` when left out", field.Default))
		}
		typeName := strings.Join(field.Type.Slice(), "|")
		if field.Format == "date-time" {
			typeName = "time"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", at, typeName, strings.Join(limits, ", "), cell(field.Description))
		if field.Type.Is(openapi3.TypeArray) && len(field.Items.Value.Properties) > 0 {
			writeFields(b, at+"[]", field.Items.Value)
		}
	}
}

func TestPageOfRefusals(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Refusals that callers see\n\n" + generatedBy)
	b.WriteString("`heatherlock why --reason REASON` prints the same. The reason is in the header `Heatherlock-Reason`; whether the\nrequest ran is in `Heatherlock-Ran`, and the time to come back, where there is one, in `Retry-After`.\n\n")
	b.WriteString("| reason | HTTP status | meaning | remedy |\n|---|---|---|---|\n")
	var names []string
	for reason := range steering.Reasons {
		names = append(names, string(reason))
	}
	slices.Sort(names)
	for _, name := range names {
		info := steering.Reasons[steering.Reason(name)]
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s |\n", name, info.Status, cell(info.Meaning), cell(info.Remedy))
	}
	checkPage(t, "refusals.md", b.String())
}

func TestPageOfCommands(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Commands of `heatherlock`\n\n" + generatedBy)
	b.WriteString("## Exit codes\n\n| code | meaning |\n|---|---|\n")
	for _, c := range command.Codes {
		fmt.Fprintf(&b, "| %d | %s |\n", c.Code, cell(c.Meaning))
	}
	b.WriteString("\nOf several failures in one `apply` the highest code is given. Results go to standard output, everything else to\nstandard error; colours are used only on a terminal, and not if `NO_COLOR` is set. `heatherlock completion SHELL` prints\na completion script for bash, zsh, fish, powershell or nushell.\n")
	shared := flaggy.NewSubcommand("shared")
	new(client.Options).Declare(shared)
	b.WriteString("\n## Flags of every command that works on a running system\n\n| flag | meaning |\n|---|---|\n")
	writeFlags(&b, shared.Flags, nil)
	for _, c := range program().Commands {
		sub := flaggy.NewSubcommand(c.Name)
		c.Declare(sub)
		writeCommand(&b, c.Name, c.Summary, sub, shared.Flags)
	}
	checkPage(t, "commands.md", b.String())
}

func writeCommand(b *strings.Builder, name, summary string, sub *flaggy.Subcommand, shared []*flaggy.Flag) {
	fmt.Fprintf(b, "\n## %s\n\n%s.\n", name, strings.ToUpper(summary[:1])+summary[1:])
	if len(sub.PositionalFlags)+len(sub.Flags) > 0 {
		b.WriteString("\n| flag | meaning |\n|---|---|\n")
	}
	for _, p := range sub.PositionalFlags {
		fmt.Fprintf(b, "| `%s` | %s |\n", strings.ReplaceAll(p.Name, "|", "\\|"), cell(p.Description))
	}
	writeFlags(b, sub.Flags, shared)
	for _, nested := range sub.Subcommands {
		writeCommand(b, name+" "+nested.Name, nested.Description, nested, shared)
	}
}

// writeFlags writes one table row per flag, except for the shared flags.
func writeFlags(b *strings.Builder, flags, shared []*flaggy.Flag) {
	for _, f := range flags {
		if slices.ContainsFunc(shared, func(s *flaggy.Flag) bool { return s.LongName == f.LongName }) {
			continue
		}
		long := "`--" + f.LongName + "`"
		if f.ShortName != "" {
			long = "`-" + f.ShortName + "`, " + long
		}
		fmt.Fprintf(b, "| %s | %s |\n", long, cell(f.Description))
	}
}

// metric is a metric that the code records.
type metric struct {
	name, kind, part string
	tags             []string
}

// TestPageOfMetrics checks that the page lists exactly the metrics that the code
// records. The meaning of each metric is written by hand in the page, and an update
// of the page keeps it.
func TestPageOfMetrics(t *testing.T) {
	file := filepath.Join(referenceDir, "metrics.md")
	old, err := os.ReadFile(file)
	if !golden.FlagUpdate() {
		assert.NilError(t, err)
	}
	meanings := meaningsIn(string(old))
	var b strings.Builder
	b.WriteString("# Metrics\n\n" + generatedBy)
	b.WriteString("`GET /metrics` on the operators' listener gives them in the Prometheus text form. Every metric also carries `vm` and\n`zone`. A counter shows up once it has counted; timers give quantiles in seconds.\n\n")
	b.WriteString("| metric | kind | labels | part | meaning |\n|---|---|---|---|---|\n")
	for _, m := range metricsInCode(t) {
		meaning := meanings[m.name]
		assert.Assert(t, golden.FlagUpdate() || meaning != "", "%s has no meaning in metrics.md; write one", m.name)
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", m.name, m.kind, strings.Join(m.tags, ", "), m.part, meaning)
	}
	checkPage(t, "metrics.md", b.String())
}

func meaningsIn(page string) map[string]string {
	meanings := map[string]string{}
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.TrimSpace(line), " | ")
		if len(cells) != 5 || !strings.HasPrefix(cells[0], "| `") {
			continue
		}
		meanings[strings.Trim(cells[0], "| `")] = strings.TrimSpace(strings.TrimSuffix(cells[4], "|"))
	}
	return meanings
}

// metricKinds maps the methods of a tally scope to kinds of metrics.
var metricKinds = map[string]string{"Counter": "counter", "Gauge": "gauge", "Timer": "timer", "Histogram": "histogram"}

// metricsInCode returns all metrics that the daemon's modules record, sorted by name.
func metricsInCode(t *testing.T) []metric {
	t.Helper()
	found := map[string]metric{}
	for _, module := range []string{"node", "objects", "platform", "peer"} {
		assert.NilError(t, filepath.WalkDir(filepath.Join(root, module), func(path string, d fs.DirEntry, err error) error {
			if err != nil || !d.IsDir() {
				return err
			}
			for _, m := range metricsInPackage(t, path) {
				if known, ok := found[m.name]; ok {
					m.tags = slices.Compact(slices.Sorted(slices.Values(append(m.tags, known.tags...))))
				}
				found[m.name] = m
			}
			return nil
		}))
	}
	var all []metric
	for _, m := range found {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b metric) int { return strings.Compare(a.name, b.name) })
	return all
}

func metricsInPackage(t *testing.T, dir string) []metric {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	assert.NilError(t, err)
	var metrics []metric
	prefixes := map[string]bool{}
	type fileMetrics struct {
		own     string
		metrics []metric
	}
	var perFile []fileMetrics
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		assert.NilError(t, err)
		one := fileMetrics{}
		tagged := map[string][]string{} // labels of scopes, by the variable that holds the scope
		ast.Inspect(parsed, func(n ast.Node) bool {
			recordTagged(n, tagged)
			method, name, receiver := literalCall(n)
			if method == "SubScope" {
				one.own = name
				prefixes[name] = true
			}
			if kind := metricKinds[method]; kind != "" {
				one.metrics = append(one.metrics, metric{name: name, kind: kind, part: filepath.ToSlash(strings.TrimPrefix(dir, root+"/")), tags: tagsOf(receiver, tagged)})
			}
			return true
		})
		perFile = append(perFile, one)
	}
	for _, one := range perFile {
		prefix := one.own
		if prefix == "" {
			prefix = packagePrefix(prefixes, filepath.Base(dir))
		}
		for _, m := range one.metrics {
			m.name = strings.Join(slices.DeleteFunc([]string{"heatherlock", prefix, m.name}, func(s string) bool { return s == "" }), "_")
			metrics = append(metrics, m)
		}
	}
	return metrics
}

// packagePrefix returns the metric prefix for a file that creates no sub-scope: the
// prefix named like the directory, or else the only prefix of the package.
func packagePrefix(prefixes map[string]bool, dir string) string {
	if prefixes[dir] || len(prefixes) != 1 {
		if prefixes[dir] {
			return dir
		}
		return ""
	}
	for prefix := range prefixes {
		return prefix
	}
	return ""
}

// literalCall returns the method, argument and receiver of a call such as
// x.Counter("a"), or empty values for any other node.
func literalCall(n ast.Node) (method, argument string, receiver ast.Expr) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", "", nil
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", "", nil
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", "", nil
	}
	argument, err := strconv.Unquote(literal.Value)
	if err != nil {
		return "", "", nil
	}
	return selector.Sel.Name, argument, selector.X
}

// recordTagged records the labels of an assignment such as a := x.Tagged(...).
func recordTagged(n ast.Node, tagged map[string][]string) {
	assign, ok := n.(*ast.AssignStmt)
	if !ok || len(assign.Lhs) != 1 || len(assign.Rhs) != 1 {
		return
	}
	if name, ok := assign.Lhs[0].(*ast.Ident); ok {
		tagged[name.Name] = tagsOf(assign.Rhs[0], tagged)
	}
}

// tagsOf returns the labels of a call such as x.Tagged(map[string]string{"a": ...}),
// or of a variable that holds such a scope.
func tagsOf(receiver ast.Expr, tagged map[string][]string) []string {
	if name, ok := receiver.(*ast.Ident); ok {
		return tagged[name.Name]
	}
	call, ok := receiver.(*ast.CallExpr)
	if !ok || len(call.Args) != 1 {
		return nil
	}
	literal, ok := call.Args[0].(*ast.CompositeLit)
	if !ok {
		return nil
	}
	var tags []string
	for _, element := range literal.Elts {
		pair, ok := element.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		if key, ok := pair.Key.(*ast.BasicLit); ok {
			tags = append(tags, strings.Trim(key.Value, `"`))
		}
	}
	return tags
}

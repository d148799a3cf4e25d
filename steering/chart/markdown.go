package chart

import (
	"fmt"
	"strings"
)

// Markdown returns the chart as a page with a Mermaid diagram and tables of states and
// events. The output depends on the chart file alone, so a test can compare it with the
// page in docs/charts.
func (c *Chart[M]) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# State chart: %s\n\n%s\n\n", c.file.Name, c.file.Doc)
	fmt.Fprintf(&b, "Generated from the chart's JSON file; do not edit.\n\n```mermaid\n%s```\n\n", c.mermaid())
	b.WriteString("| state | meaning |\n|---|---|\n")
	for _, s := range c.file.States {
		fmt.Fprintf(&b, "| %s | %s |\n", s.Name, s.Doc)
	}
	b.WriteString("\n| event | meaning |\n|---|---|\n")
	for _, e := range c.file.Events {
		fmt.Fprintf(&b, "| %s | %s |\n", e.Name, e.Doc)
	}
	return b.String()
}

func (c *Chart[M]) mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.file.Initial)
	for _, t := range c.file.Transitions {
		for _, from := range t.From {
			fmt.Fprintf(&b, "    %s --> %s: %s\n", from, t.To, t.label())
		}
	}
	for _, s := range c.file.States {
		if s.Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", s.Name)
		}
	}
	return b.String()
}

func (t fileTransition) label() string {
	label := string(t.Event)
	if t.Guard != "" {
		label += " [" + t.Guard + "]"
	}
	if len(t.Actions) > 0 {
		label += " / " + strings.Join(t.Actions, ", ")
	}
	return label
}

package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/api/check"
	"heatherlock/api/oas"
)

const (
	// maxDiffFields is the maximum number of fields that one audit line lists.
	maxDiffFields = 40
	// maxDiffValueBytes is the length to which a field's value in an audit line is truncated.
	maxDiffValueBytes = 80
)

// audit logs an accepted change with its author, action, version and changed fields.
// Objects contain no secrets, so the line contains none either.
func (s *Server) audit(ctx context.Context, c change, before oas.Object, existed bool, version int64) {
	action, after := "create", c.object
	switch {
	case len(c.value) == 0:
		action, after = "delete", oas.Object{}
	case existed:
		action = "update"
	}
	if !existed {
		before = oas.Object{}
	}
	s.scope.Tagged(map[string]string{"action": action, "kind": string(c.ref.Kind)}).Counter("operator_changes").Inc(1)
	_ = level.Info(s.log).Log("msg", "change accepted", "audit", true, "who", identity(ctx), "action", action,
		"object", c.ref.String(), "version", version, "from_version", c.baseVersion, "override", c.override,
		"diff", Diff(before, after))
}

// Diff returns the spec fields that differ as sorted lines of the form "path: old -> new",
// "path: added new" or "path: removed old". Either object may be empty. At most
// maxDiffFields fields are listed; a last line gives the number of the others.
func Diff(before, after oas.Object) []string {
	old, now := flatten(before), flatten(after)
	var lines []string
	for path, value := range now {
		if was, known := old[path]; !known {
			lines = append(lines, fmt.Sprintf("%s: added %s", path, value))
		} else if was != value {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", path, was, value))
		}
	}
	for path, was := range old {
		if _, kept := now[path]; !kept {
			lines = append(lines, fmt.Sprintf("%s: removed %s", path, was))
		}
	}
	slices.Sort(lines)
	if len(lines) > maxDiffFields {
		more := len(lines) - maxDiffFields
		lines = append(lines[:maxDiffFields], fmt.Sprintf("and %d more fields", more))
	}
	return lines
}

// flatten returns the leaf values of an object's spec by their path. Client blocks are read
// directly, because an object can hold very many and encoding them to JSON would be slow.
func flatten(o oas.Object) map[string]string {
	leaves := map[string]string{}
	switch o.Type {
	case "":
		return leaves
	case oas.ClientBlocksObject:
		for _, block := range o.ClientBlocks.Spec.Blocks {
			leaves["spec.blocks["+block.Prefix+"].place"] = block.Place
		}
		return leaves
	}
	raw, err := o.MarshalJSON()
	if err != nil {
		return leaves
	}
	var fields struct {
		Spec any `json:"spec"`
	}
	if json.Unmarshal(raw, &fields) != nil {
		return leaves
	}
	walk("spec", fields.Spec, leaves)
	return leaves
}

// walk adds the leaf values below value to leaves.
func walk(path string, value any, leaves map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for name, field := range v {
			walk(path+"."+name, field, leaves)
		}
	case []any:
		for i, item := range v {
			walk(fmt.Sprintf("%s[%s]", path, itemLabel(i, item)), item, leaves)
		}
	default:
		text := fmt.Sprint(v)
		if len(text) > maxDiffValueBytes {
			text = text[:maxDiffValueBytes] + "..."
		}
		leaves[path] = text
	}
}

// itemLabel returns the name or prefix of a list item, or else its index. With names in the
// path, removing the first item doesn't show as a change to every other item.
func itemLabel(i int, item any) string {
	fields, ok := item.(map[string]any)
	if !ok {
		return fmt.Sprint(i)
	}
	for _, key := range []string{"name", "prefix"} {
		if name, ok := fields[key].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}

// sameSpec reports whether two objects have equal specs.
func sameSpec(a, b oas.Object) bool { return reflect.DeepEqual(flatten(a), flatten(b)) }

// facts returns the runtime state that the checks use in addition to the objects: the
// entry VMs, the permits in use of each cap and the percent moved of each shift.
func (s *Server) facts(set check.Set) check.Facts {
	facts := check.Facts{Now: time.Now(), EntryVMs: map[string]string{}, PermitsInUse: map[string]int{}, MovedPercent: map[string]int{}}
	for _, m := range s.runtime.Members() {
		if m.State != Gone {
			facts.EntryVMs[m.VM] = m.Zone
		}
	}
	if len(facts.EntryVMs) == 0 {
		facts.EntryVMs = nil
	}
	for _, ref := range set.Refs() {
		switch ref.Kind {
		case oas.KindCap:
			if fact, ok := s.runtime.Cap(ref.Name); ok && fact.InUseKnown {
				facts.PermitsInUse[ref.Name] = fact.PermitsInUse
			}
		case oas.KindShift:
			if fact, ok := s.runtime.Shift(ref.Name); ok {
				facts.MovedPercent[ref.Name] = fact.MovedPercent
			}
		}
	}
	return facts
}

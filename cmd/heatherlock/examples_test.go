package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/objects"
	"heatherlock/standin/deploy"
)

const examplesDir = "../../examples"

// exampleObjects returns the services, places and client blocks of a deployment, with
// VM addresses as in a real deployment instead of loopback addresses.
func exampleObjects(t *testing.T, name string) []oas.Object {
	t.Helper()
	d, err := deploy.Named(name)
	assert.NilError(t, err)
	second := map[string]int{deploy.ChileName: 20, deploy.PrairiesName: 30}[name]
	addresses, count := map[string]string{}, map[string]int{}
	for _, target := range d.Targets() {
		zone := 0
		for i, z := range d.Zones {
			if z.Name == target.Place {
				zone = i + 1
			}
		}
		count[target.Place]++
		addresses[target.Name] = fmt.Sprintf("10.%d.%d.%d:8080", second, zone, count[target.Place])
	}
	all, err := d.Objects(addresses)
	assert.NilError(t, err)
	for i := range all {
		for j := range all[i].ClientBlocks.Spec.Blocks {
			block := &all[i].ClientBlocks.Spec.Blocks[j]
			block.Prefix = netip.PrefixFrom(netip.AddrFrom4([4]byte{100, byte(second), byte(32 * j), 0}), 19).String()
		}
	}
	return all
}

// The example files declare the same deployments as quickstart runs.
func TestExamplesMatchTheDeployments(t *testing.T) {
	for _, name := range []string{deploy.ChileName, deploy.PrairiesName} {
		for _, o := range exampleObjects(t, name) {
			raw, err := o.MarshalJSON()
			assert.NilError(t, err)
			var want bytes.Buffer
			assert.NilError(t, json.Indent(&want, raw, "", "  "))
			want.WriteByte('\n')
			ref := check.RefOf(o)
			file := filepath.Join(examplesDir, name, fmt.Sprintf("%s-%s.json", lower(ref.Kind), ref.Name))
			if golden.FlagUpdate() {
				assert.NilError(t, os.MkdirAll(filepath.Dir(file), 0o755))
				assert.NilError(t, os.WriteFile(file, want.Bytes(), 0o644))
			}
			got, err := os.ReadFile(file)
			assert.NilError(t, err)
			assert.Equal(t, string(got), want.String(), "%s is stale; run go test ./cmd/heatherlock -update", file)
		}
	}
}

func lower(kind oas.Kind) string { return string(bytes.ToLower([]byte(kind))) }

// The example directory of each deployment passes all checks as a whole and contains
// an object of every kind.
func TestExamplesPassTheChecks(t *testing.T) {
	for _, name := range []string{deploy.ChileName, deploy.PrairiesName} {
		items, err := objects.Read([]string{filepath.Join(examplesDir, name)}, nil)
		assert.NilError(t, err)
		set, kinds := check.NewSet(), map[oas.Kind]bool{}
		for _, item := range items {
			assert.Equal(t, len(item.Problems), 0, "%s: %v", item.Source, item.Problems)
			set = set.With(item.Object)
			kinds[check.RefOf(item.Object).Kind] = true
		}
		problems := set.All(check.Facts{})
		assert.Equal(t, len(problems), 0, "%v", problems)
		assert.Equal(t, len(kinds), len(check.Kinds), "%s lacks a kind", name)
	}
}

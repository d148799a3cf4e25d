package deploy

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/api/oas"
	"heatherlock/standin/witness"
)

// Guards against an error in the data by which runs would pass on deployments smaller
// than the real ones. The expected sizes are those of the real deployments.
func TestDeploymentSizes(t *testing.T) {
	for _, name := range []string{ChileName, PrairiesName} {
		d, err := Named(name)
		assert.NilError(t, err)
		assert.Equal(t, len(d.Zones), 6)
		assert.Equal(t, len(d.EntryVMs()), 12)
		count, slots := map[string]int{}, map[string]int{}
		places := map[string]map[string]bool{}
		for _, target := range d.Targets() {
			count[target.Service]++
			slots[target.Service] += target.Slots
			if places[target.Service] == nil {
				places[target.Service] = map[string]bool{}
			}
			places[target.Service][target.Place] = true
		}
		for i, s := range d.Services {
			wantCount, wantSlots := 12, 36
			if i == 0 {
				wantCount, wantSlots = 20, 80
			}
			assert.Equal(t, count[s.Name], wantCount)
			assert.Equal(t, slots[s.Name], wantSlots)
			assert.Equal(t, len(places[s.Name]), 6)
		}
	}
	_, err := Named("peru")
	assert.ErrorContains(t, err, "chile or prairies")
}

func TestObjectsAreValid(t *testing.T) {
	d := Chile()
	running, err := d.StartTargets(1, "", witness.New())
	assert.NilError(t, err)
	defer running.Close()
	objects, err := d.Objects(running.Addresses())
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 4+6+1)
	for _, o := range objects {
		raw, err := Encode(o)
		assert.NilError(t, err)
		var back oas.Object
		assert.NilError(t, back.UnmarshalJSON(raw))
		assert.NilError(t, back.Validate())
		kind, name := Identity(back)
		assert.Check(t, kind != "" && name != "")
	}
	_, err = d.Objects(nil)
	assert.ErrorContains(t, err, "no address for target")
}

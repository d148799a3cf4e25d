package capacity_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/steering/capacity"
)

func TestScarcerOfProcessorAndLinkLimits(t *testing.T) {
	assert.Equal(t, capacity.Of(0.8, 200), 2400.0)
	assert.Equal(t, capacity.Of(0.16, 10), 300.0)
	assert.Equal(t, capacity.Of(1, 0), 3000.0)
	assert.Equal(t, capacity.Of(0, 10), 300.0)
	assert.Equal(t, capacity.Of(0, 0), 0.0)
}

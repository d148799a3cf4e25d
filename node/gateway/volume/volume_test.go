package volume_test

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/volume"
)

func TestBytesAreCountedByPurposeAndDistance(t *testing.T) {
	m := volume.NewMeter(volume.Location{Zone: "a", Region: "north"})
	m.Count(volume.Heartbeats, volume.Location{Zone: "a", Region: "north"}, 1)
	m.Count(volume.Heartbeats, volume.Location{Zone: "b", Region: "north"}, 2)
	m.Count(volume.Heartbeats, volume.Location{Zone: "c", Region: "south"}, 4)
	m.Count(volume.Heartbeats, volume.Location{Zone: "c", Region: "south"}, 8)
	m.Count(volume.Store, volume.Location{}, 16)
	assert.DeepEqual(t, m.TakeSums(), volume.Sums{volume.Heartbeats: {Zone: 1, Region: 2, Across: 12}, volume.Store: {Unknown: 16}})
	assert.Equal(t, len(m.TakeSums()), 0, "the sums were taken before")
}

func TestConnCountsBothDirections(t *testing.T) {
	m := volume.NewMeter(volume.Location{Zone: "a", Region: "north"})
	near, far := net.Pipe()
	counted := m.Conn(near, volume.Requests, volume.Location{Zone: "a", Region: "north"})
	go func() {
		got := make([]byte, 5)
		_, _ = io.ReadFull(far, got)
		_, _ = far.Write([]byte("answer"))
	}()
	_, err := counted.Write([]byte("asked"))
	assert.NilError(t, err)
	_, err = io.ReadFull(counted, make([]byte, 6))
	assert.NilError(t, err)
	assert.DeepEqual(t, m.TakeSums(), volume.Sums{volume.Requests: {Zone: 11}})
}

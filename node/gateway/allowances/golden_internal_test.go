package allowances

import (
	"encoding/hex"
	"encoding/json"
	"net"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/steering"
	"heatherlock/steering/allowance"
)

// hexText encodes binary data as lines of hexadecimal digits, so that diffs are readable.
func hexText(raw []byte) string {
	var text strings.Builder
	for line := range slices.Chunk(raw, 50) {
		text.WriteString(hex.EncodeToString(line) + "\n")
	}
	return text.String()
}

// fromHex returns the binary data in a golden file.
func fromHex(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.Join(strings.Fields(string(golden.Get(t, name))), ""))
	assert.NilError(t, err)
	return raw
}

// written is a connection that records the last datagram written to it.
type written struct {
	net.PacketConn
	raw []byte
}

func (w *written) WriteTo(raw []byte, _ net.Addr) (int, error) {
	w.raw = raw
	return len(raw), nil
}

// Guards against reports and replies that old and new entry VMs decode differently: an owner would
// lend credits that no VM uses, and requests within the allowance would be refused.
func TestGoldenDatagrams(t *testing.T) {
	report := allowance.Report{Workspace: 1<<63 + 1, Number: 1<<31 + 2, Used: 1<<40 + 3, Known: 1<<39 + 4, Held: 5.5, Waiting: 6, Demand: 7.25}
	reply := allowance.Reply{Workspace: 1<<62 + 8, Number: 1<<30 + 9, Used: 1<<38 + 10, Credits: 11.5, Tight: true, Share: 0.125, WaitMs: 1000}
	for name, d := range map[string]datagram{
		"full":    {From: "vm-1", Incarnation: 1<<31 + 12, Reports: []allowance.Report{report, {Workspace: 13}}, Replies: []allowance.Reply{reply, {Workspace: 14}}},
		"reports": {From: "vm-1", Incarnation: 1, Reports: []allowance.Report{{Workspace: 2}}},
		"replies": {Replies: []allowance.Reply{{Workspace: 3}}},
		"empty":   {},
	} {
		t.Run(name, func(t *testing.T) {
			file, conn := "golden/datagram-"+name+".hex", &written{}
			var sent int
			s := New(Config{Self: "vm-1", OnSend: func(_ steering.VM, bytes int) { sent = bytes }}, conn)
			s.send(peer{}, d, nil)
			assert.Equal(t, sent, len(conn.raw))
			golden.Assert(t, hexText(conn.raw), file)
			var got datagram
			assert.NilError(t, cbor.Unmarshal(fromHex(t, file), &got)) // as in readLoop
			assert.Assert(t, reflect.DeepEqual(got, d), "%+v", got)
		})
	}
	assert.Equal(t, allowance.IDOf("w1"), allowance.ID(4629433493941539353), "VMs of all versions must derive the same ID for a workspace")
}

// Guards against a changed encoding of counts that operators' tools cannot parse in a log.
func TestGoldenCounts(t *testing.T) {
	counts := map[steering.Workspace]Count{"w1": {Admitted: 1, Beyond: 2, NotRun: 3}, otherWorkspaces: {Admitted: 4}}
	raw, err := json.Marshal(counts)
	assert.NilError(t, err)
	golden.Assert(t, string(raw)+"\n", "golden/counts.json")
	var got map[steering.Workspace]Count
	assert.NilError(t, json.Unmarshal(golden.Get(t, "golden/counts.json"), &got))
	assert.DeepEqual(t, got, counts)
}

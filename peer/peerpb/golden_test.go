package peerpb_test

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/peer/peerpb"
)

// filler sets every field of a message to another value: n, n+1 and so on.
type filler struct{ n int }

func (f *filler) fill(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !field.IsList() {
			m.Set(field, f.value(field, m.NewField(field)))
			continue
		}
		list := m.Mutable(field).List()
		for range 2 {
			list.Append(f.value(field, list.NewElement()))
		}
	}
}

// value returns the next value of a field; empty is one without anything set.
func (f *filler) value(field protoreflect.FieldDescriptor, empty protoreflect.Value) protoreflect.Value {
	f.n++
	switch field.Kind() {
	case protoreflect.MessageKind:
		f.fill(empty.Message())
		return empty
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprint("text-", f.n))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte{byte(f.n), 0xff})
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(f.n))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(int64(f.n))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(f.n))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(f.n))
	}
	panic("no value for a field of kind " + field.Kind().String())
}

// Guards against calls that old and new entry VMs read differently: a field of another number
// or type, or a call of another name.
func TestGoldenMessages(t *testing.T) {
	service := peerpb.File_peer_proto.Services().Get(0)
	paths := ""
	for i := range service.Methods().Len() {
		method := service.Methods().Get(i)
		paths += peerpb.PeerPathPrefix + string(method.Name()) + "\n"
		for _, described := range []protoreflect.MessageDescriptor{method.Input(), method.Output()} {
			kind, err := protoregistry.GlobalTypes.FindMessageByName(described.FullName())
			assert.NilError(t, err)
			filled := kind.New()
			(&filler{}).fill(filled)
			raw, err := proto.Marshal(filled.Interface()) // as the generated client and server do
			assert.NilError(t, err)
			text := ""
			for line := range slices.Chunk(raw, 50) {
				text += hex.EncodeToString(line) + "\n"
			}
			file := "golden/" + string(described.Name()) + ".hex"
			golden.Assert(t, text, file)
			stored, err := hex.DecodeString(strings.Join(strings.Fields(string(golden.Get(t, file))), ""))
			assert.NilError(t, err)
			got := kind.New().Interface()
			assert.NilError(t, proto.Unmarshal(stored, got))
			assert.Assert(t, proto.Equal(got, filled.Interface()), "%v", got)
		}
	}
	golden.Assert(t, paths, "golden/paths.txt")
}

// Guards against a release of a grant that the build before sends, without a rest, and that is read
// differently here.
func TestReleaseWithoutRestIsRead(t *testing.T) {
	raw, err := hex.DecodeString(strings.Join(strings.Fields(string(golden.Get(t, "golden/ReleaseRequest-without-rest.hex"))), ""))
	assert.NilError(t, err)
	var got peerpb.ReleaseRequest
	assert.NilError(t, proto.Unmarshal(raw, &got))
	assert.Equal(t, len(got.Ended), 2)
	first := got.Ended[0]
	assert.Equal(t, first.Grant, "text-5")
	assert.Equal(t, first.ReportedSlots, int32(12))
	assert.Equal(t, first.RestMs, int64(0))
	again, err := proto.Marshal(&got)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, raw)
}

// Guards against heartbeats of the build before, without declared slots, that are read differently here.
func TestHeartbeatWithoutDeclaredSlotsIsRead(t *testing.T) {
	raw, err := hex.DecodeString(strings.Join(strings.Fields(string(golden.Get(t, "golden/BeatRequest-without-declared.hex"))), ""))
	assert.NilError(t, err)
	var got peerpb.BeatRequest
	assert.NilError(t, proto.Unmarshal(raw, &got))
	again, err := proto.Marshal(&got)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, raw)
	assert.Assert(t, !strings.Contains(got.String(), "declared:"), "%v", &got)
}

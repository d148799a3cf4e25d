package operator

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	standin "heatherlock/standin/platform"
)

// newClientBlocks returns a ClientBlocks object with n blocks; first is the number of the
// first block.
func newClientBlocks(name string, first, n int) oas.Object {
	blocks := oas.ClientBlocks{Kind: string(oas.KindClientBlocks), Metadata: oas.Metadata{Name: oas.ObjectName(name)}}
	for i := first; i < first+n; i++ {
		prefix := fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, (i>>8)&255, i&255)
		blocks.Spec.Blocks = append(blocks.Spec.Blocks, oas.ClientBlock{Prefix: prefix, Place: "a"})
	}
	return oas.NewClientBlocksObject(blocks)
}

// Client blocks are checked against those of other ClientBlocks objects, although only one such
// object is in memory at a time. A place that client blocks refer to can't be deleted.
func TestBlocksAreCheckedAgainstOtherObjects(t *testing.T) {
	store := standin.NewStore(standin.Options{})
	s := newServer(t, store, &fakeRuntime{})
	createObjects(t, s)
	_, err := create(s, newClientBlocks("one", 0, 10))
	assert.NilError(t, err)
	_, err = create(s, newClientBlocks("two", 9, 10))
	assert.Equal(t, problemReason(err), oas.ProblemReasonInvalid, "%v", err)
	_, err = create(s, newClientBlocks("two", 10, 10))
	assert.NilError(t, err)
	for _, name := range []string{"a-b"} {
		for _, kind := range []oas.Kind{oas.KindCap, oas.KindShift} {
			assert.NilError(t, deleteObject(t, s, check.Ref{Kind: kind, Name: name}))
		}
	}
	err = deleteObject(t, s, check.Ref{Kind: oas.KindPlace, Name: "a"})
	assert.Equal(t, problemReason(err), oas.ProblemReasonInvalid, "%v", err)
	assert.NilError(t, deleteObject(t, s, check.Ref{Kind: oas.KindPlace, Name: "b"}))
}

func deleteObject(t *testing.T, s *Server, ref check.Ref) error {
	t.Helper()
	o, err := s.get(t.Context(), ref)
	assert.NilError(t, err)
	_, err = s.DeleteObject(t.Context(), oas.DeleteObjectParams{Kind: ref.Kind, Name: oas.ObjectName(ref.Name), Version: versionOf(o), Override: oas.NewOptString("test")})
	return err
}

// BenchmarkChangeAmong680000Blocks updates one of 16 objects over HTTP that together contain
// 680,000 client blocks.
func BenchmarkChangeAmong680000Blocks(b *testing.B) {
	const objects, each = 16, 42500
	store := standin.NewStore(standin.Options{})
	s := newServer(b, store, &fakeRuntime{})
	createObjects(b, s)
	var object oas.Object
	for i := range objects {
		var err error
		object, err = create(s, newClientBlocks(fmt.Sprintf("b%d", i), i*each, each))
		assert.NilError(b, err)
	}
	handler := s.Handler()
	for b.Loop() {
		raw, err := object.MarshalJSON()
		assert.NilError(b, err)
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest("PUT", "/v1/objects/ClientBlocks/b15", strings.NewReader(string(raw)))
		request.Header.Set("Content-Type", "application/json")
		handler.ServeHTTP(recorder, request)
		assert.Equal(b, recorder.Code, 200, "%.200s", recorder.Body)
		assert.NilError(b, object.UnmarshalJSON(recorder.Body.Bytes()))
		object.ClientBlocks.Spec.Blocks[0].Place = map[string]string{"a": "b", "b": "a"}[object.ClientBlocks.Spec.Blocks[0].Place]
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapSys>>20), "heap-MB")
}

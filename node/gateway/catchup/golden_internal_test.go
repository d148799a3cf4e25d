package catchup

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/steering"
	"heatherlock/steering/identity"
	"heatherlock/steering/routes"
	"heatherlock/steering/spread"
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

// ask sends a request to a test peer that responds with reply, and returns the request body and
// the decoded response.
func ask(t *testing.T, need spread.Request, reply func(http.ResponseWriter)) (question []byte, got callResult, err error) {
	t.Helper()
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Method == "POST" && r.RequestURI == "/v1/config", "%s %s", r.Method, r.RequestURI)
		question, _ = io.ReadAll(r.Body) // a short read fails the comparison
		reply(w)
	}))
	defer peer.Close()
	asker := &transfer{Fetcher: NewFetcher(Config{HTTP: http.DefaultClient})}
	got, err = asker.call(t.Context(), strings.TrimPrefix(peer.URL, "http://"), need)
	return question, got, err
}

// Guards against requests that old and new entry VMs decode differently: peers would not send the
// missing pieces, and a VM would stay behind.
func TestGoldenQuestions(t *testing.T) {
	for name, need := range map[string]spread.Request{
		"full": {Version: 1<<63 + 1, Rest: true, Buckets: []spread.BucketRequest{{Number: 2, Have: []uint64{1<<62 + 3, 4}}, {Number: 5}},
			Bytes: 1<<19 + 6, More: true, From: "vm-1"},
		"outline": {Bytes: 7, From: "vm-1"},
		"empty":   {},
	} {
		t.Run(name, func(t *testing.T) {
			file := "golden/need-" + name + ".hex"
			question, _, _ := ask(t, need, func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) }) // only the request matters here
			golden.Assert(t, hexText(question), file)
			r := httptest.NewRequest(http.MethodPost, Path, bytes.NewReader(fromHex(t, file)))
			got, err := readNeed(httptest.NewRecorder(), r)
			assert.NilError(t, err)
			assert.Assert(t, reflect.DeepEqual(got, need), "%+v", got)
		})
	}
}

// fullPiece is a piece with every field set.
func fullPiece() spread.Piece {
	rank := 3
	return spread.Piece{Version: 17,
		Outline: &spread.Outline{Version: 18, Buckets: []uint64{1<<63 + 1, 2}, Rest: 1<<62 + 3},
		Rest: &spread.Rest{
			Services: []*routes.Service{{Name: "tickets", HealthPath: "/health", MaxConnections: 390, ColdFor: 4 * time.Second, ColdRate: 7.5}},
			Limits:   routes.Limits{HeaderBytes: 16384, BodyBytes: 1 << 33, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second}},
		Buckets: []spread.BucketPiece{{Number: 6, Keep: []uint64{1<<61 + 7, 8},
			Routes: []spread.Route{{Name: "r1", Host: "a.example", Prefix: "/x/", Kind: routes.Upload, Timeout: 9 * time.Second, Aim: 400 * time.Millisecond,
				Rank: 10, MaxAttempts: 11, KeyAffinity: true, Parts: []spread.Part{{Service: "tickets", Weight: 90.5}, {Service: "maps", Weight: 9.5}},
				Homes: []steering.Region{"norte", "sur"}, Public: true}, {Name: "r2", Kind: routes.AtMostOnce}},
			Workspaces: []spread.Workspace{{Name: "w1", Keys: []identity.Digest{identity.DigestOf("key-one"), identity.DigestOf("key-two")}, Rank: &rank,
				Rate: 40.5, Burst: 20.25, Homes: []steering.Region{"centro"}}, {Name: "w2"}}},
			{Number: 12}},
	}
}

// Guards against responses that old and new entry VMs decode differently: routes and workspaces
// would be lost, or a configuration would never be complete. The compressed bytes are decoded but
// not compared, because the assembly and the Go implementation of S2 compress differently.
func TestGoldenAnswers(t *testing.T) {
	for name, piece := range map[string]spread.Piece{"full": fullPiece(), "empty": {}} {
		t.Run(name, func(t *testing.T) {
			packed, err := encode(piece)
			assert.NilError(t, err)
			raw, err := s2.Decode(nil, packed)
			assert.NilError(t, err)
			golden.Assert(t, hexText(raw), "golden/piece-"+name+".hex")
			if golden.FlagUpdate() {
				golden.Assert(t, hexText(packed), "golden/piece-"+name+"-packed.hex")
			}
			stored := fromHex(t, "golden/piece-"+name+"-packed.hex")
			_, got, err := ask(t, spread.Request{}, func(w http.ResponseWriter) { _, _ = w.Write(stored) }) // a failed write shows in the decoded piece
			assert.NilError(t, err)
			assert.Assert(t, reflect.DeepEqual(got.piece, piece), "%+v", got.piece)
		})
	}
	assert.Equal(t, contentType, "application/cbor+s2")
}

// Guards against VMs that cannot decode the retry delay: they would retry at once, or not at all.
func TestGoldenRefusal(t *testing.T) {
	w := httptest.NewRecorder()
	(&Handler{Scope: tally.NoopScope}).refuse(w, 249*time.Millisecond)
	golden.Assert(t, fmt.Sprintf("%d\nHeatherlock-Wait-Ms: %s\n", w.Code, w.Header().Get("Heatherlock-Wait-Ms")), "golden/refusal.txt")
	_, got, err := ask(t, spread.Request{}, func(w http.ResponseWriter) {
		w.Header().Set("Heatherlock-Wait-Ms", "250")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	assert.Equal(t, err, errPeerBusy)
	assert.Equal(t, got.retryAfter, 250*time.Millisecond)
}

// Guards against wait reasons that other VMs or operators misread: heartbeats carry them as numbers,
// status responses as text.
func TestGoldenWaits(t *testing.T) {
	text := ""
	for n, w := range []Wait{NotWaiting, ReceivingPieces, PeersBusy, PeersUnresponsive, NoPeerAvailable} {
		assert.Equal(t, int(w), n)
		text += fmt.Sprintf("%d %q\n", w, w)
	}
	golden.Assert(t, text, "golden/waits.txt")
}

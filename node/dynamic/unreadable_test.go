package dynamic

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/objects"
)

// Guards against a zone that stays with an older configuration because its reader asks for changes that cannot be read again and
// again, or goes on from behind them.
func TestObjectsAreListedWhereTheirChangesAreUnreadable(t *testing.T) {
	changed := `{"kind":"Service","name":"tickets","version":9,"value":{}}`
	for name, changes := range map[string]string{
		"no name": `{"revision":9,"events":[{"object":{"kind":"Service","version":9,"value":{}}}]}`, "no kind": `{"revision":9,"events":[{"object":{"name":"tickets","version":9}}]}`,
		"no version": `{"revision":9,"events":[{"object":{"kind":"Service","name":"tickets","value":{}}}]}`, "another type": `{"revision":9,"events":[{"object":{"name":["tickets"]}}]}`,
		"no JSON": `{"revision":9,"events":[}`,
	} {
		watched, listed := 0, 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := `{"revision":5,"objects":[{"kind":"Service","name":"desk","version":5,"value":{}}]}`
			if strings.HasSuffix(r.URL.Path, "/watch") {
				watched++
				body = changes
			} else if listed++; listed > 1 {
				body = `{"revision":9,"objects":[` + changed + `]}`
			}
			_, _ = w.Write([]byte(body)) // the test fails without it
		}))
		client, err := objects.NewClient(objects.ClientConfig{URL: server.URL, VM: "vm-1", Zone: "norte-a"})
		assert.NilError(t, err)
		s := spreadOn(t, client)
		cursor, err := s.readNext(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, cursor, int64(5))
		cursor, err = s.readNext(t.Context(), cursor)
		assert.NilError(t, err, name)
		assert.Assert(t, cursor == 9 && watched == 1 && listed == 2 && s.set.Load().Version() == 9, "%s: at %d, version %d", name, cursor, s.set.Load().Version())
		server.Close()
	}
}

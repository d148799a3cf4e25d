package feed_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/feed"
	"heatherlock/platform"
	"heatherlock/steering"
)

// sink counts what was listed anew, by kind.
type sink map[string]int

func (s sink) ConfigChanged(feed.ConfigChange)          {}
func (s sink) TargetsChanged(feed.TargetUpdate)         {}
func (s sink) InvalidEntries([]platform.InvalidEntry)   {}
func (s sink) ListedAnew(kind string, _ platform.Fault) { s[kind]++ }
func (s sink) ReadStarted()                             {}
func (s sink) ReadSucceeded()                           {}

// alone is the view of a VM that no other one reads before.
type alone struct{}

func (alone) ReadRank(bool) int         { return 0 }
func (alone) LastReadStart() time.Time  { return time.Time{} }
func (alone) StartView() feed.StartView { return feed.StartView{} }

// unreadableStore serves a configuration and nothing else, and answers every watch with one event that cannot be read.
type unreadableStore struct{ version, watches int }

func (s *unreadableStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := `{"items":[],"storeRevision":9}`
	switch {
	case r.URL.Query().Has("watch"):
		s.watches++
		body = fmt.Sprintf(`{"events":[{"object":{"metadata":{"name":["main"]},"spec":{"version":"r%d"}},"removed":false}],"storeRevision":%d}`, s.version, s.version)
	case strings.HasSuffix(r.URL.Path, "/main"):
		body = fmt.Sprintf(`{"metadata":{"name":"main","revision":%d},"spec":{"version":"r%d"}}`, s.version, s.version)
	}
	_, _ = w.Write([]byte(body)) // the test fails without it
}

// Guards against a VM that stays with an older configuration because the change to the newer one could not be read.
func TestConfigurationIsReadWhereItsChangeIsUnreadable(t *testing.T) {
	back := &unreadableStore{version: 7}
	server := httptest.NewServer(back)
	t.Cleanup(server.Close)
	listed := sink{}
	r := feed.NewReader(platform.NewStore(strings.TrimPrefix(server.URL, "http://")), listed,
		feed.NewState(time.Second, map[steering.Zone]steering.Region{"a": "r"}), alone{}, log.NewNopLogger())
	for back.version = 7; back.version < 10; back.version++ {
		assert.NilError(t, r.ReadConfig(t.Context()))
		version, _, _, _ := r.InForce()
		assert.Equal(t, version, uint64(back.version))
	}
	assert.Assert(t, back.watches == 2 && listed["configuration"] == 2, "%d watches, %v", back.watches, listed)
}

// Guards against a VM that never reads a configuration that it can use because a VM of another build has rejected it.
func TestRejectedConfigurationIsReadByPeersThemselves(t *testing.T) {
	rejecting, peer := readAll(at(10)), readAll(at(10))
	now := start.Add(time.Second)
	rejecting.ApplyConfigRead(now, nil, at(20))
	rejecting.NewestUnusable(now)
	exchange(now, rejecting, peer)
	assert.Equal(t, peer.Digest(now).ConfigRevision, int64(10))
	rejecting.ApplyConfigRead(now, table(4), at(30))
	peer.SetTable(now, table(4))
	exchange(now, rejecting, peer)
	peer.SetTargets(now, listed(nil, 30))
	assert.Equal(t, peer.Digest(now).ConfigRevision, int64(30))
}

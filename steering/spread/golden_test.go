package spread_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"heatherlock/steering"
	"heatherlock/steering/identity"
	"heatherlock/steering/routes"
	"heatherlock/steering/spread"
)

// Guards against hashes of the same configuration that differ between old and new entry VMs: each
// would repeatedly fetch all of it from the other, and the status would report VMs with different
// configurations. Tests in node/gateway/catchup cover the encoded pieces.
func TestGoldenOutline(t *testing.T) {
	rank := 3
	workspaces := []*identity.Workspace{{Name: "w1", Keys: []identity.Digest{identity.DigestOf("key-one")}, Rank: &rank, Rate: 40, Burst: 20, Homes: []steering.Region{"sur"}}}
	for n := range 70 { // enough for two buckets, so that the assignment to buckets is covered
		workspaces = append(workspaces, &identity.Workspace{Name: steering.Workspace(fmt.Sprint("more-", n))})
	}
	table := routes.NewTable(7,
		[]*routes.Route{{Name: "r1", Host: "a.example", Prefix: "/x/", Kind: routes.Upload, Timeout: time.Second, Aim: 400 * time.Millisecond, Rank: 2,
			Parts: []routes.WeightedService{{Service: "tickets", Weight: 90}, {Service: "maps", Weight: 10}}, MaxAttempts: 4, KeyAffinity: true,
			Homes: []steering.Region{"norte"}, Public: true}},
		[]*routes.Service{{Name: "tickets", HealthPath: "/health", MaxConnections: 390, ColdFor: 3 * time.Second, ColdRate: 7.5}},
		routes.Limits{HeaderBytes: 16384, BodyBytes: 1 << 33, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second}, workspaces...)
	outline := spread.NewIndex(table).Outline()
	golden.Assert(t, fmt.Sprintf("version %d\nbuckets %016x\nrest %016x\ncontent %016x\n", outline.Version, outline.Buckets, outline.Rest, outline.ContentHash()),
		"golden/outline.txt")
}

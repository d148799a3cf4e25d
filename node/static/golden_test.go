package static_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/node/static"
)

// Guards against operators' settings files that are rejected because of an unknown field, or of which
// a value is silently ignored. The test encodes the file as the quickstart does.
func TestGoldenSettings(t *testing.T) {
	settings := static.Settings{VM: "vm-1", Zone: "norte-a", Region: "norte",
		CallerListen: "10.0.0.1:7001", PeerListen: "10.0.0.1:7002", OperatorListen: "10.0.0.1:7003",
		CallerAdvertise: "10.0.1.1:7004", PeerAdvertise: "10.0.1.1:7005", OperatorAdvertise: "10.0.1.1:7006",
		Platform: static.Platform{URL: "http://10.0.9.9:80", TimeoutMs: 2001}, Seeds: []string{"10.0.2.1:7002", "10.0.3.1:7002"}, Log: static.Log{Level: "warn"},
		TLS: static.TLS{Peer: static.Certificates{CertFile: "peer.pem", KeyFile: "peer.key", CAFile: "peer-ca.pem"},
			Operator: static.Certificates{Cert: "certificate", Key: "key", CA: "authority"}},
		OperatorTokens: []static.OperatorToken{{Name: "ana", SHA256: digest}},
		Limits: static.Limits{CallerConnections: 4001, HeaderBytes: 65537, HeaderTimeoutMs: 5001, BodyMinBytesPerSec: 1025, OutcomeBytes: 1<<24 + 1, OutcomeTTLMs: 600001,
			OperatorConnections: 257, PeerConnections: 2049, ConnectionsPerTarget: 401}}
	raw, err := json.MarshalIndent(settings, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(raw)+"\n", "golden/settings.json")
	read, err := static.Load(golden.Path("golden/settings.json"))
	assert.NilError(t, err)
	assert.DeepEqual(t, read, settings)
}

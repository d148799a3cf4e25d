package identity_test

import (
	"encoding/hex"
	"testing"

	"gotest.tools/v3/golden"

	"heatherlock/steering/identity"
)

// Guards against a digest of an API key that differs between old and new entry VMs. They exchange
// digests instead of keys, so callers would be refused as unknown.
func TestGoldenDigest(t *testing.T) {
	digest := identity.DigestOf("key-one")
	golden.Assert(t, hex.EncodeToString(digest[:])+"\n", "golden/digest.hex")
}

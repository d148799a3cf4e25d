package static

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
)

// Limits for the values of settings, and texts that several checks use.
const (
	maxDurationMs       = 24 * 60 * 60 * 1000
	minHeaderBytes      = 4 << 10
	maxHeaderBytes      = 1 << 20
	maxConnections      = 1 << 20
	maxBodyBytesPerS    = 1 << 30
	maxOutcomeBytes     = 1 << 34
	sha256HexLen        = 64
	maxNameLength       = 128
	nameCharacters      = "a to z, A to Z, 0 to 9, '-', '_' and '.'"
	advertisePortRemedy = "give the port that peers and callers can reach"
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Check returns an *Error with every problem of the settings, or nil. It is meant for settings
// that were built in code; Parse checks those that it decodes.
func (s Settings) Check() error {
	found := &problems{}
	s.check(found)
	return found.err()
}

func (s Settings) check(found *problems) {
	checkName(found, "vm", string(s.VM))
	checkName(found, "zone", string(s.Zone))
	checkName(found, "region", string(s.Region))
	checkListen(found, "callerListen", s.CallerListen)
	checkListen(found, "peerListen", s.PeerListen)
	checkListen(found, "operatorListen", s.OperatorListen)
	checkAdvertise(found, "callerAdvertise", s.CallerAdvertise)
	checkAdvertise(found, "peerAdvertise", s.PeerAdvertise)
	checkAdvertise(found, "operatorAdvertise", s.OperatorAdvertise)
	for i, seed := range s.Seeds {
		checkAdvertise(found, fmt.Sprintf("seeds[%d]", i), seed)
	}
	s.Platform.check(found)
	if !slices.Contains(logLevels, s.Log.Level) {
		found.add(BadValue, "log.level", strconv.Quote(s.Log.Level), "give debug, info, warn or error")
	}
	s.TLS.Peer.check(found, "tls.peer")
	s.TLS.Operator.check(found, "tls.operator")
	for i, token := range s.OperatorTokens {
		token.check(found, fmt.Sprintf("operatorTokens[%d]", i))
	}
	s.Limits.check(found)
}

func (p Platform) check(found *problems) {
	checkDuration(found, "platform.timeoutMs", p.TimeoutMs)
	if p.URL == "" {
		return // the decoder reports it as missing; code may use another platform client
	}
	u, err := url.Parse(p.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		found.add(BadAddress, "platform.url", strconv.Quote(p.URL), "give http://HOST:PORT or https://HOST:PORT")
	}
}

func (c Certificates) check(found *problems, path string) {
	if c.Empty() {
		return
	}
	if (c.CertFile == "") == (c.Cert == "") {
		found.add(BadValue, path, "", "give either certFile or cert")
	}
	if (c.KeyFile == "") == (c.Key == "") {
		found.add(BadValue, path, "", "give either keyFile or key")
	}
	if c.CAFile != "" && c.CA != "" {
		found.add(BadValue, path, "", "give caFile or ca, not both")
	}
}

func (t OperatorToken) check(found *problems, path string) {
	raw, err := hex.DecodeString(t.SHA256)
	if t.SHA256 != "" && (err != nil || len(raw)*2 != sha256HexLen) {
		found.add(BadValue, path+".sha256", "(not shown)", "give the 64 hex digits of the token's SHA-256")
	}
}

func (l Limits) check(found *problems) {
	checkRange(found, "limits.callerConnections", int64(l.CallerConnections), 1, maxConnections)
	checkRange(found, "limits.operatorConnections", int64(l.OperatorConnections), 1, maxConnections)
	checkRange(found, "limits.peerConnections", int64(l.PeerConnections), 1, maxConnections)
	checkRange(found, "limits.connectionsPerTarget", int64(l.ConnectionsPerTarget), 1, maxConnections)
	checkRange(found, "limits.headerBytes", int64(l.HeaderBytes), minHeaderBytes, maxHeaderBytes)
	checkRange(found, "limits.bodyMinBytesPerSecond", int64(l.BodyMinBytesPerSec), 1, maxBodyBytesPerS)
	checkRange(found, "limits.outcomeBytes", l.OutcomeBytes, 1, maxOutcomeBytes)
	checkDuration(found, "limits.headerTimeoutMs", l.HeaderTimeoutMs)
	checkDuration(found, "limits.outcomeTTLMs", l.OutcomeTTLMs)
}

func checkName(found *problems, field, name string) {
	if name == "" {
		return // reported as missing
	}
	if len(name) > maxNameLength || !isName(name) {
		found.add(BadValue, field, strconv.Quote(name), "use up to 128 of "+nameCharacters)
	}
}

func isName(name string) bool {
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func checkListen(found *problems, field, address string) {
	if address == "" {
		return // reported as missing
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		found.add(BadAddress, field, strconv.Quote(address), "give IP:PORT, for example 127.0.0.1:7001; port 0 takes a free port")
	}
}

func checkAdvertise(found *problems, field, address string) {
	if address == "" {
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		found.add(BadAddress, field, strconv.Quote(address), "give IP:PORT, for example 192.0.2.7:7001")
		return
	}
	if parsed.Port() == 0 {
		found.add(BadAddress, field, strconv.Quote(address), advertisePortRemedy)
	}
	if parsed.Addr().IsUnspecified() {
		found.add(BadAddress, field, strconv.Quote(address), "give an address that others can reach, not the unspecified one")
	}
}

func checkDuration(found *problems, field string, ms int) {
	if ms < 1 || ms > maxDurationMs {
		found.add(BadDuration, field, strconv.Itoa(ms), "give milliseconds from 1 to 86400000 (a day)")
	}
}

func checkRange(found *problems, field string, value, low, high int64) {
	if value < low || value > high {
		found.add(BadValue, field, strconv.FormatInt(value, 10), fmt.Sprintf("give a whole number from %d to %d", low, high))
	}
}

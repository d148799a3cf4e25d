package objects

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Names of the API calls, as used in Error.Op and as the "op" tag of the metrics.
const (
	OpGet    = "get"
	OpList   = "list"
	OpCreate = "create"
	OpUpdate = "update"
	OpDelete = "delete"
	OpWatch  = "watch"
	OpVMs    = "vms"
)

// Ops lists the names of all API calls.
var Ops = []string{OpGet, OpList, OpCreate, OpUpdate, OpDelete, OpWatch, OpVMs}

// IsWrite reports whether the call named op changes stored objects.
func IsWrite(op string) bool {
	return op == OpCreate || op == OpUpdate || op == OpDelete
}

// callMetrics counts and times calls by operation, and counts failed calls by operation and error
// kind.
type callMetrics struct {
	scope tally.Scope
}

// newCallMetrics returns metrics that are reported to scope; a nil scope counts nothing.
func newCallMetrics(scope tally.Scope) callMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return callMetrics{scope: scope}
}

// recordCall records a completed call that took d; err is nil if the call succeeded.
func (m callMetrics) recordCall(op string, d time.Duration, err error) {
	tagged := m.scope.Tagged(map[string]string{"op": op})
	tagged.Counter("platform_calls").Inc(1)
	tagged.Timer("platform_call_time").Record(d)
	if err == nil {
		return
	}
	m.scope.Tagged(map[string]string{"op": op, "kind": string(KindOf(err))}).Counter("platform_errors").Inc(1)
}

// recordRefused counts a call that Budget refused without sending it.
func (m callMetrics) recordRefused(op string, kind ErrorKind) {
	m.scope.Tagged(map[string]string{"op": op, "kind": string(kind)}).Counter("platform_refused_locally").Inc(1)
}

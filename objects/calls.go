package objects

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Names of the calls, as they appear in Error.Op and as the "op" tag of the
// counters.
const (
	OpGet    = "get"
	OpList   = "list"
	OpCreate = "create"
	OpUpdate = "update"
	OpDelete = "delete"
	OpWatch  = "watch"
	OpVMs    = "vms"
)

// Ops lists every call in a fixed order.
var Ops = []string{OpGet, OpList, OpCreate, OpUpdate, OpDelete, OpWatch, OpVMs}

// IsWrite tells whether a call changes the store.
func IsWrite(op string) bool {
	return op == OpCreate || op == OpUpdate || op == OpDelete
}

// callMetrics counts calls by kind, failed calls by error kind, and times them.
type callMetrics struct {
	scope tally.Scope
}

// newCallMetrics returns metrics under scope; a nil scope counts nothing.
func newCallMetrics(scope tally.Scope) callMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return callMetrics{scope: scope}
}

// ended records one call that took d and failed with err, if not nil.
func (m callMetrics) ended(op string, d time.Duration, err error) {
	tagged := m.scope.Tagged(map[string]string{"op": op})
	tagged.Counter("platform_calls").Inc(1)
	tagged.Timer("platform_call_time").Record(d)
	if err == nil {
		return
	}
	m.scope.Tagged(map[string]string{"op": op, "kind": string(KindOf(err))}).Counter("platform_errors").Inc(1)
}

// refused records a call that the client's own budget held back.
func (m callMetrics) refused(op string, kind ErrorKind) {
	m.scope.Tagged(map[string]string{"op": op, "kind": string(kind)}).Counter("platform_refused_locally").Inc(1)
}

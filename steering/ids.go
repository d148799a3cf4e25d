package steering

// Region names a group of availability zones that share short links.
type Region string

// Zone names an availability zone.
type Zone string

// Place names a site: a set of targets inside one availability zone.
type Place string

// Service names a service that targets answer, for example "tickets".
type Service string

// Target names one endpoint that answers requests of one service.
type Target string

// Workspace names a group of callers that share API keys, an allowance of requests
// and the regions in which their requests may run.
type Workspace string

// Generation tells the starts of a target apart that it made under one name: that of
// a later start is greater. 0 means that the target does not tell. What was learned of
// a target, what it holds and what it was sent belong to one generation.
type Generation int64

// VM names an entry VM. The name outlives a process; see Incarnation.
type VM string

// Incarnation names one process life of an entry VM. It is random, is never
// reused, and begins the prefix of every request key that the process issues.
// It holds ASCII letters and digits only.
type Incarnation string

// RequestID is unique per request and is echoed by targets and peers.
type RequestID string

// KeyPrefix is what a caller puts before the dot of a request key:
// "<incarnation>-<epoch>", where the epoch is the minute of issue. It comes from
// a look-up answer or from the Heatherlock-Key-Prefix header of any answer, and
// is fit for fresh keys for some minutes only; package once says why.
type KeyPrefix string

// Key is a request key: "<key prefix>.<unique part>". Empty means that the
// caller gave none.
type Key string

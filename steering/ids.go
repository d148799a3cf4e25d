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

// VM names an entry VM. The name outlives a process; see Incarnation.
type VM string

// Incarnation names one process life of an entry VM. It is random, is never
// reused, and prefixes every request key that the process issues.
type Incarnation string

// RequestID is unique per request and is echoed by targets and peers.
type RequestID string

// Key is a request key: "<incarnation>.<unique part>". Empty means that the
// caller gave none.
type Key string

package steering

// Region is the name of a group of availability zones with low latency between them.
type Region string

// Zone is the name of an availability zone.
type Zone string

// Place is the name of a site, a set of targets in one availability zone.
type Place string

// Service is the name of a service whose requests targets run, for example "tickets".
type Service string

// Target is the name of an endpoint that runs requests of one service.
type Target string

// Workspace is the name of a group of callers that share API keys, a limit on the
// request rate, and the regions in which their requests may run.
type Workspace string

// Generation distinguishes successive starts of a target under the same name. A later start
// has a greater generation; 0 means that the target does not report one. State about
// a target, such as its measurements, its warm keys and its requests in flight, belongs to
// one generation.
type Generation int64

// VM is the name of an entry VM. It stays the same when the process restarts; see
// [Incarnation].
type VM string

// Incarnation identifies one process of an entry VM, from start to exit. It is random,
// never reused, consists of ASCII letters and digits, and begins the prefix of every
// request key that the process issues.
type Incarnation string

// RequestID identifies a request. Targets and peers return it with the response.
type RequestID string

// KeyPrefix is the part of a request key before the dot: "<incarnation>-<epoch>", where
// the epoch is the minute of issue. Callers get it from a look-up answer or from the
// Heatherlock-Key-Prefix header of any response. It is valid for new keys only for some
// minutes: older epochs are sealed, because the outcomes of their keys may have been
// evicted and a new key could not be distinguished from a used one. See package once.
type KeyPrefix string

// Key is a request key: "<key prefix>.<unique part>". It is empty if the caller sent none.
type Key string

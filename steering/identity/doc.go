// Package identity tells which workspace a request belongs to, by its API key.
//
// An API key is a secret of the callers that hold it. It is turned into a Digest
// where a configuration or a request is decoded, and only digests are stored,
// compared and sent between entry VMs: a log line, a heap dump or a captured
// message holds nothing with which a request could be made.
//
// A Directory finds the workspace of a digest. It is built once for a
// configuration and does not change, so that a request sees the keys of one
// version. The lookup is keyed with a seed of the process, and candidates are
// compared in constant time: neither the time of a lookup nor the order of its
// buckets tells a caller how close a guessed key is.
//
// Trade-off: the digest itself is not keyed, since entry VMs have to agree on it
// without a shared secret. A key that can be guessed can be guessed from its digest;
// keys are expected to be random, with 80 bits or more.
package identity

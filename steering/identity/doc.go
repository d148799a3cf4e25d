// Package identity maps the API key of a request to its workspace.
//
// An API key is a secret of its callers. It is replaced by a [Digest] as soon as a
// configuration or a request is decoded, and only digests are stored, compared and
// sent between entry VMs. A log line, a heap dump or a captured message therefore
// contains nothing that authenticates a request.
//
// A [Directory] finds the workspace of a digest. It is built once per configuration
// and is immutable, so a request sees the keys of one version. Its hash is seeded per
// process, and candidates are compared in constant time: neither the duration of a
// lookup nor the order of the buckets shows a caller how close a guessed key is.
//
// Trade-off: the digest itself is not keyed, because entry VMs have to compute the same
// digest without a shared secret. Whoever has a digest can test guesses of the key
// against it, so keys are expected to be random, with at least 80 bits.
package identity

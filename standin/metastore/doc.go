// Package metastore is a stand-in for the users' metadata store, for tests. It
// keeps objects by kind and name under one revision, answers lists in pages and
// watches from its history, and can be made to fail: silent, refusing, slow,
// losing answers, forgetting its history, for all callers or for some.
package metastore

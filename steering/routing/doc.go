// Package routing defines the immutable configuration [Snapshot] on which every decision is based.
// A snapshot is built as a whole from the operators' objects, is not modified after it is
// published, and has a version that only increases: the revision of the platform from which it was
// built.
//
// Limits: a snapshot contains declared configuration only. Measured data such as load, health and
// membership is kept elsewhere and looked up by name.
package routing

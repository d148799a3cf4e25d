// Package benchdecide measures the cost of one decision of the data path:
// nanoseconds and allocations per admission and choice of a target at several
// numbers of targets, with free slots and while requests queue.
//
// Limits: the decisions run one after another on one core, without locks and
// without the network. On a busy machine the results vary between runs.
package benchdecide

// Package benchdecide measures what one decision of the data path costs:
// nanoseconds and allocations per admission and choice at several numbers of
// targets, alone and while requests queue.
//
// Limits: the decisions run one after another on one core, without locks and
// without the network; figures of a busy machine scatter.
package benchdecide

//go:build planted_lock_order

package planted

// Defect is the defect in this build.
const Defect = LockOrder

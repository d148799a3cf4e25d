//go:build planted_twice

package planted

// Defect is the defect in this build.
const Defect = UnsafeRetry

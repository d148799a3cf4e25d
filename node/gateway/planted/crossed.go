//go:build planted_crossed

package planted

// Defect is the defect in this build.
const Defect = MismatchedResponse

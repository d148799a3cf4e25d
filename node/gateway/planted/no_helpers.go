//go:build planted_no_helpers

package planted

// Defect is the defect in this build.
const Defect = NoHelpers

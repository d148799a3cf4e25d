//go:build planted_falsely_not_run

package planted

// Defect is the defect in this build.
const Defect = FalselyNotRun

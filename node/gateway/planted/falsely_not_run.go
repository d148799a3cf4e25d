//go:build planted_falsely_not_run

package planted

// Defect is the defect of this build.
const Defect = FalselyNotRun

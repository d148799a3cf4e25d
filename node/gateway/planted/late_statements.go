//go:build planted_late_statements

package planted

// Defect is the defect in this build.
const Defect = LateStatements

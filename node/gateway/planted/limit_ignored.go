//go:build planted_limit_ignored

package planted

// Defect is the defect in this build.
const Defect = LimitIgnored

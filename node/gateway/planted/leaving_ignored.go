//go:build planted_leaving_ignored

package planted

// Defect is the defect in this build.
const Defect = LeavingIgnored

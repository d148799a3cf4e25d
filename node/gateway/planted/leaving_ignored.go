//go:build planted_leaving_ignored

package planted

// Defect is the defect of this build.
const Defect = LeavingIgnored

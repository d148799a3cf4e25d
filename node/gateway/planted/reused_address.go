//go:build planted_reused_address

package planted

// Defect is the defect of this build.
const Defect = ReusedAddress

//go:build planted_reused_address

package planted

// Defect is the defect in this build.
const Defect = ReusedAddress

//go:build planted_stale_config

package planted

// Defect is the defect of this build.
const Defect = StaleConfig

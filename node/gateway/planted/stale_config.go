//go:build planted_stale_config

package planted

// Defect is the defect in this build.
const Defect = StaleConfig

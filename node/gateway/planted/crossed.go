//go:build planted_crossed

package planted

// Defect is the defect of this build.
const Defect = Crossed

//go:build planted_twice

package planted

// Defect is the defect of this build.
const Defect = Twice

//go:build planted_cut_on_stop

package planted

// Defect is the defect in this build.
const Defect = ImmediateExit

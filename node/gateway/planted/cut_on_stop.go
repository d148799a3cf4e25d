//go:build planted_cut_on_stop

package planted

// Defect is the defect of this build.
const Defect = CutOnStop

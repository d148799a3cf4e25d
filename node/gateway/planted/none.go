//go:build !planted_twice && !planted_falsely_not_run && !planted_crossed && !planted_leaving_ignored && !planted_stale_config && !planted_cut_on_stop && !planted_reused_address && !planted_no_helpers && !planted_limit_ignored && !planted_lock_order

package planted

// Defect is the defect in this build, or None.
const Defect = None

// Package benchplacement plays heavy days through the placement of an entry VM:
// the product's own decision code on simulated targets that keep some keys
// warm, beside simpler ways to choose a target. It answers which way serves
// callers in time when more is asked than fits, when regions are uneven, and
// when targets die.
package benchplacement

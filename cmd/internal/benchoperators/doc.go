// Package benchoperators measures, against a running system, how long a change
// takes from being sent until it is accepted, until a watch shows it, and until
// it is in force on every entry VM.
//
// It writes a Service of its own, which no target serves, and removes it at the
// end. In force is what each entry VM says itself, asked again and again; a
// figure is therefore too long by up to one pause between two questions.
package benchoperators

// Package benchlookup measures look-ups at the size that heatherlock is built
// for: the memory and speed of the block table against other ways to keep it,
// whole look-ups a second, the change of one block and of the whole table while
// look-ups go on, and look-ups over HTTP. Everything runs in this process, the
// platform stand-in included, so that HTTP figures share the machine with
// their own clients.
package benchlookup

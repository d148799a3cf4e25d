// Package buffering counts what this VM holds for callers and targets that read slowly, and cuts
// connections when it may hold no more. The decisions are those of steering/buffers.
//
// A caller's connection has an Account, and each of its requests a Claim, which reserves bytes. The
// request holds its claim until the response has been written, and so does each attempt until it has
// ended, also when the caller has left: the bytes count for as long as they are used. Writer writes to
// a caller or a target and detects that it does not read.
package buffering

// Package buffering counts what this VM holds for callers and targets that read slowly, and cuts
// connections when it may hold no more. The decisions are those of steering/buffers.
//
// A caller's connection has an Account, and each of its requests a Claim, which reserves bytes and
// releases all of them when the response has been written. Writer writes to a caller or a target and
// detects that it does not read.
package buffering

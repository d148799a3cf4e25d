// Package buffers decides how many bytes an entry VM may hold for callers and targets that read
// slowly, and which connection is cut when no more can be held.
//
// The load: hundreds of callers ask for large responses and do not read them, or read a few bytes at
// a time, or send requests without reading any response; targets read the bodies of requests slowly.
// Each connection on its own holds little. Together they take the memory of a VM of 136 MB within
// seconds, and the requests of all other callers are lost with the process.
//
// A Budget counts the bytes of a VM by connection of a caller. Bodies of requests, responses that
// wait to be written, and what the kernel holds for a connection that is held back all count. The
// rules:
//
//   - The sum never exceeds Config.Total. Bytes are reserved before they are read.
//   - A connection on which a write makes no progress is held back. When the sum would exceed
//     Config.Total, the held-back connection with the largest product of bytes and time without
//     progress is cut. Neither measure alone finds it: one that holds a little for long frees nothing,
//     and one that holds a lot may only have paused.
//   - A connection that made progress within Config.MinStall is never cut. Callers that read slowly
//     get whole responses.
//   - If cutting all such connections would not suffice, none is cut, and the request that needs the
//     bytes is refused.
//   - A caller's further requests are not read while its responses would exceed
//     Config.PerConnection.
//   - A connection without progress for Config.MaxStall is cut even if there is room.
package buffers

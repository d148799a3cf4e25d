package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// slowRequests is how many requests a slow caller sends before it reads.
	slowRequests = 40
	// slowPiece and slowPause bound what a slow reader reads: 12 KB/s, so that the largest body of a
	// request (3,000 bytes) takes a quarter of a second.
	slowPiece = 256
	slowPause = 20 * time.Millisecond
)

// slowFaults draws callers and targets that read slowly. It uses a random generator of its own, like
// workspaceFaults.
func slowFaults(seed uint64, length time.Duration) []step {
	r := rand.New(rand.NewPCG(seed, 17))
	var plan []step
	for at := 2 * time.Second; at < length-recoveryPhase; at += time.Duration(1500+r.IntN(2000)) * time.Millisecond {
		pick, span := r.Uint64(), time.Duration(500+r.IntN(2500))*time.Millisecond
		if r.IntN(2) == 0 {
			plan = append(plan, connectionFault(at, span, SlowRead, pick))
			continue
		}
		plan = append(plan, step{at, "a caller sends many requests and reads slowly", func(s *system) { go s.readSlowly(s.daemons[pick%uint64(len(s.daemons))], at) }})
	}
	return plan
}

// readSlowly sends requests on one connection and reads the responses slowly. Each must be the whole
// response to its request; the connection may end early, for example because the entry VM leaves.
func (s *system) readSlowly(d *daemon, at time.Duration) {
	conn, err := net.DialTimeout("tcp4", d.address(s.ports[0]), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	id := func(n int) string { return fmt.Sprintf("slow-%d-%d", at.Milliseconds(), n) }
	var requests strings.Builder
	for n := range slowRequests {
		fmt.Fprintf(&requests, "GET /read/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nApi-Key: %s\r\n\r\n", host, id(n), apiKeyOf(workspaceNames[0]))
	}
	_ = conn.SetDeadline(time.Now().Add(recoveryPhase / 2))
	go func() { _, _ = io.WriteString(conn, requests.String()) }() // ends with the connection
	in := bufio.NewReader(slowReader{conn})
	for n := range slowRequests {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return
		}
		if got := response.Header.Get("X-Request-Id"); response.StatusCode == http.StatusOK && (got != id(n) || !s.isCompleteAnswer(string(body))) {
			s.findings.add("slow caller's request %s got the answer to %s: %q", id(n), got, body)
		}
	}
}

// slowReader reads small pieces with pauses.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowPause)
	return r.Reader.Read(p[:min(len(p), slowPiece)])
}

package callers_test

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// serveAlone names the variable by which the test below starts itself as a process that serves.
const serveAlone = "HEATHERLOCK_TEST_SERVE"

// Guards against a response without a length that looks complete to an HTTP/1.0 caller because the process that passes it on ends.
func TestResponseThatAnEndingProcessBreaksOffDoesNotLookComplete(t *testing.T) {
	if os.Getenv(serveAlone) != "" {
		fmt.Println(newRig(t, bounds(8<<20)).address)
		_, _ = io.Copy(io.Discard, os.Stdin) // until the process is killed
		return
	}
	server := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	server.Env = append(os.Environ(), serveAlone+"=1")
	out, err := server.StdoutPipe()
	assert.NilError(t, err)
	in, err := server.StdinPipe()
	assert.NilError(t, err)
	assert.NilError(t, server.Start())
	t.Cleanup(func() { _ = in.Close(); _ = server.Wait() })
	address, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	g := &rig{t: t, address: strings.TrimSpace(address)}
	conn := g.send("GET /chunked HTTP/1.0\r\n\r\n")
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadFull(conn, make([]byte, 100_000))
	assert.NilError(t, err)
	assert.NilError(t, server.Process.Kill())
	n, err := io.Copy(io.Discard, conn)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v after %d more bytes of %d", err, n, len(data))
}

package responses_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/responses"
)

// pieces is a connection whose reads return one piece each.
type pieces struct {
	net.Conn
	left []string
}

func (c *pieces) Read(p []byte) (int, error) {
	if len(c.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.left[0])
	if c.left[0] = c.left[0][n:]; c.left[0] == "" {
		c.left = c.left[1:]
	}
	return n, nil
}

// Guards against chunks that are passed on with their framing as the body of an HTTP/1.0 response, however its bytes arrive,
// and against other responses that are taken for such.
func TestTransferEncodingOfHTTP10IsFoundInItsHeadAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		version := rapid.SampledFrom([]string{"HTTP/1.0", "HTTP/1.1"}).Draw(t, "version")
		fields := rapid.SliceOfN(rapid.SampledFrom([]string{"X-A: 1", "Transfer-Encodin: x", "X-Transfer-Encoding: chunked", "X-Long: " + strings.Repeat("x", 90),
			"X-Quoted: Transfer-Encoding: chunked"}), 0, 4).Draw(t, "fields")
		faulty := rapid.Bool().Draw(t, "faulty")
		if faulty {
			field := rapid.SampledFrom([]string{"Transfer-Encoding: chunked", "transfer-encoding:", "TRANSFER-ENCODING:identity"}).Draw(t, "field")
			at := rapid.IntRange(0, len(fields)).Draw(t, "at")
			fields = append(fields[:at:at], append([]string{field}, fields[at:]...)...)
		}
		text := strings.Join(append([]string{version + " 200 OK"}, fields...), end) + end + end + "Transfer-Encoding: chunked" + end
		c := &pieces{}
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			c.left, rest = append(c.left, rest[:n]), rest[n:]
		}
		conn := responses.NewConn(c)
		conn.ExpectHead()
		got, err := io.ReadAll(conn)
		if faulty && version == "HTTP/1.0" {
			assert.Check(t, errors.Is(err, responses.ErrMalformed), "%v", err)
			return
		}
		assert.NilError(t, err)
		assert.Equal(t, string(got), text)
	})
}

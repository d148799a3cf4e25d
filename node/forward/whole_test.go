package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMessagePassesUnchanged(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			for _, gone := range []string{"X-Private", "Keep-Alive", "Proxy-Authorization", headerKey, headerTimeout} {
				assert.Equal(t, r.Header.Get(gone), "", gone)
			}
			assert.Equal(t, r.Host, "tickets.example")
			assert.Equal(t, r.Header.Get("Accept"), "a/b")
			assert.Equal(t, r.Header.Get("Via"), "1.1 ea")
			_, hasAgent := r.Header["User-Agent"]
			assert.Assert(t, !hasAgent)
			rw.Header().Set("Connection", "X-Hop")
			rw.Header().Set("X-Hop", "secret")
			rw.Header().Set(headerReason, "forged")
			rw.Header().Set("X-Answer", "yes")
			rw.Header().Set("Trailer", "X-Sum")
			rw.WriteHeader(http.StatusAccepted)
			text, _ := io.ReadAll(r.Body)
			fmt.Fprintf(rw, "%s %s %d", r.Method, r.RequestURI, len(text))
			rw.Header().Set("X-Sum", r.Trailer.Get("X-Mark"))
		})
		for _, size := range []int{0, 1, smallBody, smallBody + 1, 3 << 20} {
			for _, method := range []string{"GET", "POST", "PURGE"} {
				body := io.Reader(bytes.NewReader(make([]byte, size)))
				if size == 0 {
					body = nil
				}
				res, text, err := w.do(method, "/a//b%2Fc?q=%20;x", body, "Connection", "X-Private", "X-Private", "1",
					"Keep-Alive", "5", "Proxy-Authorization", "p", "Accept", "a/b", "User-Agent", "",
					headerTimeout, "4000", "X-Request-Id", "mine")
				assert.NilError(t, err)
				assert.Equal(t, res.StatusCode, http.StatusAccepted)
				assert.Equal(t, text, fmt.Sprintf("%s /a//b%%2Fc?q=%%20;x %d", method, size))
				assert.Equal(t, res.Header.Get("X-Hop")+res.Header.Get(headerReason), "")
				assert.Equal(t, res.Header.Get("X-Answer"), "yes")
				assert.Equal(t, res.Header.Get("X-Request-Id"), "mine")
				assert.Equal(t, res.Header.Get(headerVia), "ea")
				assert.Equal(t, res.Header.Get(headerIncarnation), "INCA")
				assert.Assert(t, strings.HasPrefix(res.Header.Get(headerKeyPrefix), "INCA-"))
			}
		}
	})
}

func TestTrailersInterimAnswersAndHead(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			if r.Method == "HEAD" {
				rw.Header().Set("Content-Length", "77")
				return
			}
			rw.Header().Set("Link", "</style>")
			rw.WriteHeader(http.StatusEarlyHints)
			rw.Header().Set("Trailer", "X-Sum")
			_, _ = io.Copy(rw, r.Body)
			rw.Header().Set("X-Sum", r.Trailer.Get("X-Mark"))
			rw.Header().Set(http.TrailerPrefix+"X-Late", "2")
		})
		var hints string
		r, _ := http.NewRequest("PUT", "http://"+callerA+"/", io.MultiReader(strings.NewReader("whole")))
		r.Host = "tickets.example:80"
		r.Trailer = http.Header{"X-Mark": {"end"}}
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
			Got1xxResponse: func(code int, h textproto.MIMEHeader) error { hints = fmt.Sprint(code, h.Get("Link")); return nil },
		}))
		res, err := w.client.Do(r)
		assert.NilError(t, err)
		text, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "whole")
		assert.Equal(t, hints, "103</style>")
		assert.Equal(t, res.Trailer.Get("X-Sum")+res.Trailer.Get("X-Late"), "end2")

		res, _, err = w.do("HEAD", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, res.ContentLength, int64(77))
	})
}

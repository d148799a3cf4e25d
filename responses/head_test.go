package responses_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/responses"
)

// token holds the bytes that names of fields consist of.
const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// drawField returns a lawful line of a head, or several that belong together. Names begin so that none frames the message.
func drawField(t *rapid.T, end string) string {
	name := "x-" + rapid.StringOfN(rapid.SampledFrom([]rune(token)), 0, 12, -1).Draw(t, "name")
	blanks := rapid.SampledFrom([]string{"", " ", "      ", "\t", " \t "}).Draw(t, "blanks")
	value := rapid.StringOfN(rapid.RuneFrom([]rune("abc: ;,=\"()<>@é")), 0, 20, -1).Draw(t, "value")
	fold := rapid.SampledFrom([]string{"", "", "", end + " folded", end + "\tContent-Length: 2"}).Draw(t, "fold")
	return name + ":" + blanks + value + fold + end
}

// drawHead returns the lawful head of a response with a body of two bytes, as lines.
func drawHead(t *rapid.T, end string) []string {
	status := rapid.IntRange(200, 599).Filter(func(s int) bool { return s != 204 && s != 304 }).Draw(t, "status")
	phrase := rapid.SampledFrom([]string{"", " ", " OK", " Not A Known Phrase", " é"}).Draw(t, "phrase")
	version := rapid.SampledFrom([]string{"1.0", "1.1"}).Draw(t, "version")
	lines := []string{fmt.Sprintf("HTTP/%s %d%s%s", version, status, phrase, end)}
	for range rapid.IntRange(0, 6).Draw(t, "fields") {
		lines = append(lines, drawField(t, end))
	}
	length := rapid.SampledFrom([]string{"Content-Length: 2", "content-length:2", "CONTENT-LENGTH:     2"}).Draw(t, "length")
	at := rapid.IntRange(1, len(lines)).Draw(t, "at")
	return append(lines[:at:at], append([]string{length + end}, lines[at:]...)...)
}

// read returns the body of a response whose head Check accepts.
func read(text string) (string, error) {
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		return "", err
	}
	if err := responses.Check(r); err != nil {
		return "", err
	}
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// Guards against a lawful response that is refused because its head is unusual, and against one that is read with another
// body because the name of a field is none.
func TestHeadsAreReadAsTheyWereSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		lines := drawHead(t, end)
		body, err := read(strings.Join(lines, "") + end + "{}")
		assert.NilError(t, err)
		assert.Equal(t, body, "{}")

		spoilt := rapid.IntRange(1, len(lines)-1).Draw(t, "spoilt")
		name, rest, _ := strings.Cut(lines[spoilt], ":")
		at := rapid.IntRange(1, len(name)).Draw(t, "byte") // a blank in front of a name continues the line before it
		bad := rapid.SampledFrom([]string{" ", "\t", "\x00", "\x01", "\x7f", "\r", "(", "\"", "é", " X"}).Draw(t, "bad")
		lines[spoilt] = name[:at] + bad + name[at:] + ":" + rest
		body, err = read(strings.Join(lines, "") + end + "{}")
		assert.Check(t, err != nil, "%q", body)
	})
}

// Guards against a status that is taken for one of another class.
func TestStatusesOutsideTheClassesAreRefused(t *testing.T) {
	for status := range 1000 {
		_, err := read(fmt.Sprintf("HTTP/1.1 %03d x\r\nContent-Length: 0\r\n\r\n", status))
		lawful := status >= 100 && status <= 599 && status != http.StatusSwitchingProtocols
		assert.Check(t, (err == nil) == lawful, "%d: %v", status, err)
	}
}

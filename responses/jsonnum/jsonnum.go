// Package jsonnum makes the whole numbers of a JSON text readable as Go integers, whatever notation its writer uses. 2, 2.0 and
// 2E+0 are the same number (RFC 8259, section 6), but encoding/json accepts only the first one for an integer, and rejects the
// whole text because of the others.
package jsonnum

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

// maxDigits is the number of digits up to which a whole number may fit into an int64.
const maxDigits = 19

// Plain returns a JSON text with its whole numbers written in digits alone. Other numbers, strings and texts that are not JSON
// stay as they are. The result shares memory with text if nothing changes.
func Plain(text []byte) []byte {
	var out []byte
	done := 0 // what precedes it is in out
	for i := 0; i < len(text); {
		switch c := text[i]; {
		case c == '"':
			i += stringLength(text[i:])
		case c == '-' || '0' <= c && c <= '9':
			end := i + numberLength(text[i:])
			if digits, ok := plain(text[i:end]); ok {
				out = append(append(out, text[done:i]...), digits...)
				done = end
			}
			i = end
		default:
			i++
		}
	}
	if done == 0 {
		return text
	}
	return append(out, text[done:]...)
}

// stringLength returns the length of the string at the beginning of text, with its quotes.
func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

func numberLength(text []byte) int {
	for i, c := range text {
		if !strings.ContainsRune("+-.eE0123456789", rune(c)) {
			return i
		}
	}
	return len(text)
}

// plain returns a number in digits alone. ok is false if it is not whole, too large, or in digits already.
func plain(number []byte) (digits string, ok bool) {
	if !bytes.ContainsAny(number, ".eE") || !json.Valid(number) {
		return "", false
	}
	text := strings.ToLower(string(number))
	text, negative := strings.CutPrefix(text, "-")
	mantissa, exponent, _ := strings.Cut(text, "e")
	whole, fraction, _ := strings.Cut(mantissa, ".")
	shift := 0
	if exponent != "" {
		var err error
		if shift, err = strconv.Atoi(exponent); err != nil {
			return "", false
		}
	}
	all := whole + fraction
	point := len(whole) + shift // position of the decimal point in all
	if strings.Trim(all, "0") == "" {
		return "0", true
	}
	switch {
	case point <= 0 || point > len(all)+maxDigits:
		return "", false
	case point >= len(all):
		all += strings.Repeat("0", point-len(all))
	case strings.Trim(all[point:], "0") != "":
		return "", false
	}
	all = strings.TrimLeft(all[:point], "0")
	if len(all) > maxDigits {
		return "", false
	}
	if negative {
		all = "-" + all
	}
	return all, true
}

package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"heatherlock/api/oas"
)

// anonymous names operators where no tokens and no certificates are set up.
const anonymous = "anonymous"

type identityKey struct{}

// identity returns the name under which a request was let in.
func identity(ctx context.Context) string {
	name, _ := ctx.Value(identityKey{}).(string)
	return name
}

// authenticate lets in requests with a client certificate that the listener
// verified or a known token, and puts the operator's name into the context.
// A browser sends the token as the password of basic authentication.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.identify(r)
		if !ok {
			s.scope.Counter("operator_unauthorized").Inc(1)
			w.Header().Set("WWW-Authenticate", `Basic realm="heatherlock", charset="UTF-8"`)
			writeProblem(w, http.StatusUnauthorized, refuse(oas.ProblemReasonUnauthorized, "send a token of operatorTokens: heatherlock --token-file FILE, or HEATHERLOCK_TOKEN", "no valid token or client certificate"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, name)))
	})
}

func (s *Server) identify(r *http.Request) (string, bool) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return r.TLS.VerifiedChains[0][0].Subject.CommonName, true
	}
	if len(s.tokens) == 0 {
		return anonymous, true
	}
	return s.nameOf(tokenIn(r))
}

func tokenIn(r *http.Request) string {
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return token
	}
	_, token, _ := r.BasicAuth()
	return token
}

// nameOf compares with every token in constant time, so that the time taken
// says nothing of how much of a guess was right.
func (s *Server) nameOf(token string) (string, bool) {
	if token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	given := hex.EncodeToString(sum[:])
	found := ""
	for _, t := range s.tokens {
		if subtle.ConstantTimeCompare([]byte(given), []byte(strings.ToLower(t.SHA256))) == 1 {
			found = t.Name
		}
	}
	return found, found != ""
}

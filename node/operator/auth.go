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

// anonymous is the operator name used when neither tokens nor client certificates are
// configured.
const anonymous = "anonymous"

type identityKey struct{}

// identity returns the name of the authenticated operator.
func identity(ctx context.Context) string {
	name, _ := ctx.Value(identityKey{}).(string)
	return name
}

// authenticate accepts requests with a client certificate that the listener verified, or with
// a known token, and stores the operator's name in the context. A browser sends the token as
// the password of basic authentication.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.identify(r)
		if !ok {
			s.scope.Counter("operator_unauthorized").Inc(1)
			w.Header().Set("WWW-Authenticate", `Basic realm="heatherlock", charset="UTF-8"`)
			writeProblem(w, http.StatusUnauthorized, newError(oas.ProblemReasonUnauthorized, "send a token of operatorTokens: heatherlock --token-file FILE, or HEATHERLOCK_TOKEN", "no valid token or client certificate"))
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
	return s.operatorOf(tokenOf(r))
}

// tokenOf returns the bearer token or the basic authentication password of a request, or "".
func tokenOf(r *http.Request) string {
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return token
	}
	_, token, _ := r.BasicAuth()
	return token
}

// operatorOf returns the operator that a token belongs to. It compares the token with every
// configured one in constant time, so that response times don't reveal how much of a guessed
// token is correct.
func (s *Server) operatorOf(token string) (string, bool) {
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

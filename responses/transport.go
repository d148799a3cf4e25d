package responses

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that returns no response that is not to be believed. The body of a response that
// turns out so later fails.
type Transport struct {
	inner *http.Transport
}

// NewTransport returns a Transport that uses t, which must not be in use yet.
func NewTransport(t *http.Transport) *Transport {
	t.DialContext = Dialer(t.DialContext)
	return &Transport{inner: t}
}

// NewClient returns a client with the settings of http.DefaultClient.
func NewClient() *http.Client {
	settings := &http.Transport{}
	if usual, ok := http.DefaultTransport.(*http.Transport); ok {
		settings = usual.Clone()
	}
	return &http.Client{Transport: NewTransport(settings)}
}

// Unwrap returns the underlying transport.
func (t *Transport) Unwrap() *http.Transport { return t.inner }

// SetDial makes the transport connect with dial. It must not be in use yet.
func (t *Transport) SetDial(dial DialFunc) { t.inner.DialContext = Dialer(dial) }

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. The connection of a malformed response is closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	response, err := t.inner.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		if conn != nil {
			_ = conn.Close()
		}
		return nil, err
	}
	response.Request = r
	return response, nil
}

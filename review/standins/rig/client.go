package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is one client attempt.
type call struct {
	id, machine string
	kept        bool // sent on a connection that stays open
	sent        time.Time
	ended       time.Time
	status      int  // 0 without a whole answer
	left        bool // the client left before its answer
	err         error
}

// calls holds the attempts of all clients.
type calls struct {
	mu  sync.Mutex
	all []*call
}

func (c *calls) add(a *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, a)
}

func (c *calls) list() []*call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*call(nil), c.all...)
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// view is a client's answer of the directory.
type view struct {
	addresses []string
	ttl       time.Duration
	at        time.Time
}

// resolve asks up to three machines of the list for front addresses.
func (d *deployment) resolve(zone, region string) (view, error) {
	client := http.Client{Timeout: time.Second}
	query := url.Values{"name": {host}, "region": {region}, "zone": {zone}}
	var last error = errors.New("no machine answers")
	asked := 0
	for _, near := range []bool{true, false} {
		for _, m := range d.machines {
			if (m.zone == zone) != near || asked == 3 {
				continue
			}
			asked++
			response, err := client.Get("http://" + m.at(m.ports.directory) + "/v1/resolve?" + query.Encode())
			if err != nil {
				last = err
				continue
			}
			var body struct {
				Addresses []string `json:"addresses"`
				TTL       float64  `json:"ttlS"`
			}
			err = json.NewDecoder(response.Body).Decode(&body)
			_ = response.Body.Close()
			if err == nil && len(body.Addresses) > 0 {
				return view{body.Addresses, time.Duration(min(body.TTL, 5) * float64(time.Second)), time.Now()}, nil
			}
		}
	}
	return view{}, last
}

// request builds a request in the form of the platform's pages.
func requestText(method, path, id string, deadline time.Duration, body []byte) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Affinity-Key: %d\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, rand.IntN(60), deadline.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n")
	return append([]byte(text.String()), body...)
}

// readAnswer reads an answer and returns it whole.
func readAnswer(in *bufio.Reader, method string) (*http.Response, string, error) {
	response, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func dialFront(address string) (net.Conn, error) {
	return net.DialTimeout("tcp4", address, time.Second)
}

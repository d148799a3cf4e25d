package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/deploy"
	"heatherlock/standin/witness"
)

func options() Options {
	return Options{Entries: []string{"127.0.0.1:1"}, Deployment: deploy.ChileName, Rate: 100, For: time.Second, Seed: 1}
}

// Guards against a load test of a production system by mistake: an address that is not
// on loopback, or a host name that may resolve to such an address, must be refused. It
// also checks the other limits.
func TestOptionsOutsideTheLimitsAreRefused(t *testing.T) {
	cases := map[string]func(*Options){
		"no entry VM":            func(o *Options) { o.Entries = nil },
		"not on loopback":        func(o *Options) { o.Entries = []string{"192.0.2.1:80"} },
		"add --allow-remote":     func(o *Options) { o.Entries = []string{"localhost:80"} },
		"not HOST:PORT":          func(o *Options) { o.Entries = []string{"127.0.0.1"} },
		"--rate 0":               func(o *Options) { o.Rate = 0 },
		"--rate 1e+06":           func(o *Options) { o.Rate = 1e6 },
		"--for 1h0m0s":           func(o *Options) { o.For = time.Hour },
		"over 5000000 requests":  func(o *Options) { o.Rate, o.For = 50000, 5*time.Minute },
		"unknown format":         func(o *Options) { o.PlotFile = "x.gif" },
		"no deployment \"peru\"": func(o *Options) { o.Deployment = "peru" },
		"not SERVICE=SHARE":      func(o *Options) { o.Mix = "schedule" },
		"no service \"x\"":       func(o *Options) { o.Mix = "x=1" },
		"gives no service":       func(o *Options) { o.Mix = "schedule=0" },
	}
	for want, modify := range cases {
		o := options()
		modify(&o)
		assert.ErrorContains(t, o.Check(), want)
	}
	remote := options()
	remote.Entries, remote.AllowRemote = []string{"192.0.2.1:80"}, true
	assert.NilError(t, remote.Check())
}

// fakeEntryVM starts an entry VM that answers look-ups with itself, refuses requests
// for the service "passes" and answers all others completely. It returns its address.
func fakeEntryVM(t *testing.T) string {
	t.Helper()
	var self string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/lookup" {
			fmt.Fprintf(w, `{"entryVMs":[{"vm":"a","address":%q,"keyPrefix":"k"}],"ttlMs":60000}`, self)
			return
		}
		if r.Header.Get("Heatherlock-Service") == "passes" {
			w.Header().Set("Heatherlock-Reason", "no_slot")
			w.Header().Set("Heatherlock-Ran", "no")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(witness.Body(r.Header.Get(witness.HeaderRequest), 1024))
	}))
	t.Cleanup(server.Close)
	self = strings.TrimPrefix(server.URL, "http://")
	return self
}

func TestReportAndPlot(t *testing.T) {
	o := options()
	o.Entries = []string{fakeEntryVM(t)}
	o.Mix, o.For, o.Rate = "schedule=1,passes=1", 200*time.Millisecond, 400
	report, err := Run(t.Context(), o)
	assert.NilError(t, err)
	assert.Equal(t, report.Requests, report.Answered+report.Refused)
	assert.Check(t, report.Answered > 0 && report.Refused > 0)
	assert.Equal(t, report.Refusals["no_slot"], report.Refused)
	assert.Equal(t, int(report.LatencyMs["schedule"].Count), report.Answered)
	dir := t.TempDir()
	o.JSONFile, o.PlotFile = filepath.Join(dir, "r.json"), filepath.Join(dir, "r.svg")
	assert.NilError(t, write(o, report))
	raw, err := os.ReadFile(o.JSONFile)
	assert.NilError(t, err)
	assert.Check(t, json.Valid(raw))
	svg, err := os.ReadFile(o.PlotFile)
	assert.NilError(t, err)
	assert.Check(t, bytes.Contains(svg, []byte("<svg")))
}

func TestUnreachableSystem(t *testing.T) {
	_, err := Run(t.Context(), options())
	assert.ErrorContains(t, err, "no entry VM answered the look-up")
}

package gateway

import (
	"context"
	"html/template"
	"net/http"
	"time"

	"heatherlock/node/gateway/status"
	"heatherlock/node/lock"
)

// pagePath is the path of the page that shows operators which configuration the fleet follows.
const pagePath = "/"

// viewTTL is how long a view gathered from all zones is reused, so that many viewers cost the
// fleet no more than one.
const viewTTL = 2 * time.Second

// statusPage caches the view of which configuration each VM follows.
type statusPage struct {
	mu   lock.Mutex
	view status.FleetView
	at   time.Time
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="3"><title>Configuration of the entry VMs</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.3em .6em;text-align:left}</style></head><body>
<h1>Configuration of the entry VMs</h1>
<p>{{if .Agree}}All {{.Live}} entry VMs follow configuration {{.Newest}}.{{else}}{{len .Outliers}} of {{.Live}} entry VMs do not follow configuration {{.Newest}}.{{end}} {{.Gone}} on record are gone.</p>
<table><tr><th>Zone</th><th>Version</th><th>Content</th><th>VMs</th><th>In force on all of them, ms</th></tr>
{{range .Zones}}<tr><td>{{.Zone}}</td><td>{{.Version}}</td><td>{{.Content}}</td><td>{{.VMs}}</td><td>{{.InForceMs}}</td></tr>
{{end}}</table>
{{if .Outliers}}<table><tr><th>Not following</th><th>Zone</th><th>Version</th><th>Why</th></tr>
{{range .Outliers}}<tr><td>{{.VM}}</td><td>{{.Zone}}</td><td>{{.ConfigVersion}}</td><td>{{.Why}}</td></tr>
{{end}}</table>{{end}}
{{range .Rejected}}<p>Rejected: version {{.Version}}: {{.Reason}}</p>{{end}}
{{range .Silent}}<p>No answer from zone {{.}}.</p>{{end}}
</body></html>
`))

func (g *Gateway) serveStatusPage(w http.ResponseWriter, r *http.Request) {
	view := g.page.get(r.Context(), g)
	g.setConfigHeader(w)
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	if err := pageTemplate.Execute(w, view); err != nil {
		_ = g.log.Log("msg", "cannot write status page", "err", err) // the log writer counts dropped lines
	}
}

func (p *statusPage) get(ctx context.Context, g *Gateway) status.FleetView {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.at) > viewTTL {
		own := g.status(now)
		p.view = status.Gather(ctx, g.peerClient, &own)
		p.at = time.Now()
	}
	return p.view
}

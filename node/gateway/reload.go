package gateway

import (
	"reflect"

	"heatherlock/platform"
)

// Reload takes in settings that were read again. What the listeners and the
// store's address depend on needs a restart; bounds take effect at once. With
// err the old settings stay.
func (g *Gateway) Reload(next *platform.Settings, err error) {
	g.reload.Lock()
	defer g.reload.Unlock()
	if err != nil {
		if g.badSettings != err.Error() {
			_ = g.log.Log("msg", "new settings refused, the old stay", "err", err) // the writer counts what it drops
		}
		g.badSettings = err.Error()
		return
	}
	g.badSettings = ""
	if reflect.DeepEqual(next, g.newest) {
		return
	}
	g.newest = next
	_ = g.log.Log("msg", "settings read again", "restart_needed", next.Listen != g.settings.Listen || next.Store != g.settings.Store) // as above
}

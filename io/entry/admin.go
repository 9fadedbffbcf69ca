package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
)

// adminHandler serves health, readiness, metrics, status, zone records and the event timeline.
func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		e.serveCheck(w, r, func() bool { return true })
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		e.serveCheck(w, r, e.control.ready)
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		var s Status
		if !e.control.do(r.Context(), func() { s = e.control.snapshot(time.Now()) }) {
			return
		}
		writeJSON(w, s)
	})
	mux.HandleFunc("GET /zones", func(w http.ResponseWriter, r *http.Request) {
		var zones []fleet.Zone
		if !e.control.do(r.Context(), func() { zones = e.control.zoneRecords() }) {
			return
		}
		writeJSON(w, zones)
	})
	mux.HandleFunc("GET /timeline", func(w http.ResponseWriter, r *http.Request) {
		var events []event.Event
		if !e.control.do(r.Context(), func() { events = e.control.log.Events() }) {
			return
		}
		writeJSON(w, events)
	})
	return mux
}

// serveCheck runs check on the control goroutine and answers 200 or 503 with its result.
func (e *Entry) serveCheck(w http.ResponseWriter, r *http.Request, check func() bool) {
	var passed bool
	if !e.control.do(r.Context(), func() { passed = check() }) {
		return
	}
	if !passed {
		http.Error(w, "no", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("yes\n")) // fails only when the caller has disconnected
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // on failure the caller receives a truncated body
}

// zoneRecords returns the zone records in force, sorted by name.
func (c *control) zoneRecords() []fleet.Zone {
	zones := make([]fleet.Zone, 0, len(c.zones))
	for _, h := range c.zones {
		zones = append(zones, h.zone)
	}
	slices.SortFunc(zones, func(a, b fleet.Zone) int { return strings.Compare(a.Name, b.Name) })
	return zones
}

func (c *control) snapshot(now time.Time) Status {
	s := Status{
		Entry:       c.entry.settings.Name,
		Incarnation: c.entry.self.Incarnation,
		Zone:        c.entry.settings.Zone,
		Ready:       c.ready(),
		PlatformUp:  c.platformUp,
		Planner:     c.planner.incarnation == c.entry.self.Incarnation,
		ZoneRecord:  c.zones[c.entry.settings.Zone].zone,
		Held:        c.heldActions,
		Services:    c.entry.proxy.Counters(),
		InFlight:    c.entry.proxy.InFlightNotAccepting(),
	}
	if c.config != nil {
		s.ConfigRevision = c.config.Revision
	}
	for _, p := range c.peers {
		s.Peers = append(s.Peers, PeerStatus{Entry: p.sender.Name, Zone: p.zone, Linked: p.linked, Age: now.Sub(p.lastSeen), ConfigRevision: p.configRevision})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return strings.Compare(a.Entry, b.Entry) })
	return s
}

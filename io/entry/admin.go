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

// adminHandler serves health, readiness, metrics, status and the time line.
func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		e.answerFlag(w, r, func() bool { return true })
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		e.answerFlag(w, r, e.control.ready)
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		var s Status
		if !e.control.ask(r.Context(), func() { s = e.control.snapshot(time.Now()) }) {
			return
		}
		writeJSON(w, s)
	})
	mux.HandleFunc("GET /zones", func(w http.ResponseWriter, r *http.Request) {
		var zones []fleet.Zone
		if !e.control.ask(r.Context(), func() { zones = e.control.zoneRecords() }) {
			return
		}
		writeJSON(w, zones)
	})
	mux.HandleFunc("GET /timeline", func(w http.ResponseWriter, r *http.Request) {
		var events []event.Event
		if !e.control.ask(r.Context(), func() { events = e.control.log.Events() }) {
			return
		}
		writeJSON(w, events)
	})
	return mux
}

func (e *Entry) answerFlag(w http.ResponseWriter, r *http.Request, flag func() bool) {
	var yes bool
	if !e.control.ask(r.Context(), func() { yes = flag() }) {
		return
	}
	if !yes {
		http.Error(w, "no", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("yes\n")) // a caller that has left needs no answer
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller sees a short answer
}

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
		Planner:     c.planner.holder == c.entry.self.Incarnation,
		ZoneRecord:  c.zones[c.entry.settings.Zone].zone,
		Held:        c.heldBack,
		Services:    c.entry.proxy.Counters(),
		InFlight:    c.entry.proxy.InFlight(),
	}
	if c.config != nil {
		s.ConfigRevision = c.config.Revision
	}
	for _, p := range c.peers {
		s.Peers = append(s.Peers, PeerStatus{Entry: p.sender.Name, Zone: p.zone, Linked: p.linked, Age: now.Sub(p.lastSeen), ConfigRevision: p.config})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return strings.Compare(a.Entry, b.Entry) })
	return s
}

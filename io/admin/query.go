package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/io/entry"
)

const queryTimeout = 2 * time.Second

// Missing is an entry that did not answer.
type Missing struct {
	Address netip.AddrPort
	Reason  string
}

// Statuses reads the status of each entry; those that do not answer are listed apart.
func Statuses(ctx context.Context, entries []netip.AddrPort) ([]entry.Status, []Missing) {
	return queryAll[entry.Status](ctx, entries, "/status")
}

// Timeline merges the events of all entries that answer.
func Timeline(ctx context.Context, entries []netip.AddrPort, f event.Filter) ([]event.Event, []Missing) {
	logs, missing := queryAll[[]event.Event](ctx, entries, "/timeline")
	var selected []event.Event
	for _, e := range event.Merge(logs...) {
		if f.Match(e) {
			selected = append(selected, e)
		}
	}
	return selected, missing
}

// Zones returns the newest record of each zone that any entry holds.
func Zones(ctx context.Context, entries []netip.AddrPort) ([]fleet.Zone, []Missing) {
	views, missing := queryAll[[]fleet.Zone](ctx, entries, "/zones")
	newest := make(map[string]int)
	var zones []fleet.Zone
	for _, view := range views {
		for _, z := range view {
			at, seen := newest[z.Name]
			switch {
			case !seen:
				newest[z.Name] = len(zones)
				zones = append(zones, z)
			case z.Revision > zones[at].Revision:
				zones[at] = z
			}
		}
	}
	return zones, missing
}

func queryAll[T any](ctx context.Context, entries []netip.AddrPort, path string) ([]T, []Missing) {
	var mu sync.Mutex
	answers := make([]*T, len(entries))
	var missing []Missing
	var group errgroup.Group
	for i, address := range entries {
		group.Go(func() error {
			var answer T
			err := query(ctx, address, path, &answer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, Missing{address, err.Error()})
				return nil
			}
			answers[i] = &answer
			return nil
		})
	}
	_ = group.Wait() // failures are listed in missing
	var values []T
	for _, a := range answers {
		if a != nil {
			values = append(values, *a)
		}
	}
	return values, missing
}

func query(ctx context.Context, address netip.AddrPort, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", address, path), nil)
	if err != nil {
		return errors.Wrap(err, "make query")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "query entry")
	}
	defer response.Body.Close()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "decode answer of entry")
}

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

// queryTimeout limits the query of one entry.
const queryTimeout = 2 * time.Second

// QueryFailure is the address of an entry that could not be queried, with the reason.
type QueryFailure struct {
	Address netip.AddrPort
	Reason  string
}

// Statuses returns the status of each entry that answers, and the failures of the others.
func Statuses(ctx context.Context, addresses []netip.AddrPort) ([]entry.Status, []QueryFailure) {
	return queryAll[entry.Status](ctx, addresses, "/status")
}

// Timeline returns the events of all entries that answer, merged and filtered, and the failures of the other entries.
func Timeline(ctx context.Context, addresses []netip.AddrPort, f event.Filter) ([]event.Event, []QueryFailure) {
	eventLists, failures := queryAll[[]event.Event](ctx, addresses, "/timeline")
	var selected []event.Event
	for _, e := range event.Merge(eventLists...) {
		if f.Match(e) {
			selected = append(selected, e)
		}
	}
	return selected, failures
}

// Zones returns the newest record of each zone among the entries that answer, and the failures of the other entries.
func Zones(ctx context.Context, addresses []netip.AddrPort) ([]fleet.Zone, []QueryFailure) {
	views, failures := queryAll[[]fleet.Zone](ctx, addresses, "/zones")
	indexByZone := make(map[string]int)
	var zones []fleet.Zone
	for _, view := range views {
		for _, z := range view {
			index, seen := indexByZone[z.Name]
			switch {
			case !seen:
				indexByZone[z.Name] = len(zones)
				zones = append(zones, z)
			case z.Revision > zones[index].Revision:
				zones[index] = z
			}
		}
	}
	return zones, failures
}

// Reports returns the answers of the entries to a query, and the failures of the others.
func Reports[T any](ctx context.Context, addresses []netip.AddrPort, path string) ([]T, []QueryFailure) {
	return queryAll[T](ctx, addresses, path)
}

// queryAll queries all addresses concurrently and returns the answers in the order of the addresses.
func queryAll[T any](ctx context.Context, addresses []netip.AddrPort, path string) ([]T, []QueryFailure) {
	var mu sync.Mutex
	answers := make([]*T, len(addresses))
	var failures []QueryFailure
	var group errgroup.Group
	for i, address := range addresses {
		group.Go(func() error {
			var answer T
			err := query(ctx, address, path, &answer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures = append(failures, QueryFailure{address, err.Error()})
				return nil
			}
			answers[i] = &answer
			return nil
		})
	}
	_ = group.Wait() // the functions report errors in failures only
	var values []T
	for _, a := range answers {
		if a != nil {
			values = append(values, *a)
		}
	}
	return values, failures
}

func query(ctx context.Context, address netip.AddrPort, path string, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", address, path), nil)
	if err != nil {
		return errors.Wrap(err, "create the query")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "query entry")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the entry answered with status %d", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(dst), "decode the entry's answer")
}

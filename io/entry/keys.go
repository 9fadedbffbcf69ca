package entry

import "strings"

// Keys and key prefixes of the records in the key-value store.
const (
	keyConfig        = "config/accepted"
	prefixZone       = "zone/"
	prefixEntry      = "entry/"
	prefixPlanner    = "planner/"
	keySeparator     = "/"
	entryKeyElements = 2
)

// KeyConfig is the key of the accepted configuration's record.
const KeyConfig = keyConfig

// KeyZone returns the key of a zone's record.
func KeyZone(zone string) string { return prefixZone + zone }

func keyEntry(zone, incarnation string) string {
	return prefixEntry + zone + keySeparator + incarnation
}

func keyPlanner(zone string) string { return prefixPlanner + zone }

// zoneOfEntryKey returns the zone in the key of an entry's lease record, and whether key is such a key.
func zoneOfEntryKey(key string) (string, bool) {
	parts := strings.SplitN(strings.TrimPrefix(key, prefixEntry), keySeparator, entryKeyElements)
	return parts[0], strings.HasPrefix(key, prefixEntry) && len(parts) == entryKeyElements
}

package entry

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Settings holds the settings that an entry needs before it can read its configuration from the platform.
type Settings struct {
	Name       string
	Deployment string
	Zone       string
	Listen     netip.AddrPort   // serves callers
	PeerListen netip.AddrPort   // serves other entries
	Admin      netip.AddrPort   // serves health, metrics and status
	Platform   netip.AddrPort   // address of the platform's key-value store
	Backend    string           // name of the platform adapter
	Peers      []netip.AddrPort // entries to link with at the start
	Secret     string           // peer secret of the deployment
}

// Validate returns an error that names the first missing or invalid setting, or nil.
func (s *Settings) Validate() error {
	texts := []struct{ key, value string }{{"Name", s.Name}, {"Deployment", s.Deployment}, {"Zone", s.Zone}, {"Secret", s.Secret}}
	for _, t := range texts {
		if t.value == "" {
			return errors.Newf("entry settings: %s is missing", t.key)
		}
	}
	addresses := []struct {
		key   string
		value netip.AddrPort
	}{{"Listen", s.Listen}, {"PeerListen", s.PeerListen}, {"Admin", s.Admin}, {"Platform", s.Platform}}
	for _, a := range addresses {
		if !a.value.IsValid() {
			return errors.Newf("entry settings: %s is not an IP address and port", a.key)
		}
	}
	return nil
}

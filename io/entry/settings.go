package entry

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Settings are what an entry must know before it reaches the platform.
type Settings struct {
	Name       string
	Deployment string
	Zone       string
	Listen     netip.AddrPort // callers
	PeerListen netip.AddrPort // other entries
	Admin      netip.AddrPort // health, metrics, status
	Platform   netip.AddrPort
	Backend    string
	Peers      []netip.AddrPort
	Secret     string
}

// Validate reports the first setting that is missing or wrong.
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

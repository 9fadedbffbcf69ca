package entry

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"daisysaddle/io/guard"
	"daisysaddle/io/proxy"
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
	// MemoryMB and Descriptors bound what the process may take; zero is what the process finds of its own limits.
	MemoryMB    int
	Descriptors int
}

const (
	internalPart = 16 // one part in this many of the callers' limits is for each other port
	idPart       = 16 // one part in this many of the process's memory is for request ids
	idBytes      = 512
	answerPart   = 16 // and one for the answers that are kept under them
)

// memory returns the memory that the process may take, in bytes; zero is unknown.
func (s *Settings) memory() int64 {
	if s.MemoryMB > 0 {
		return int64(s.MemoryMB) << 20
	}
	return guard.OwnMemory()
}

// limits returns the limits for callers.
func (s *Settings) limits() guard.Limits {
	descriptors := s.Descriptors
	if descriptors == 0 {
		descriptors = guard.OwnDescriptors()
	}
	l := guard.ForProcess(s.memory(), descriptors)
	l.BodyKept = proxy.MaxKeptBodyBytes
	return l
}

// Validate returns an error that names the first missing or invalid setting, or nil.
func (s *Settings) Validate() error {
	if s.MemoryMB < 0 || s.Descriptors < 0 {
		return errors.New("entry settings: MemoryMB or Descriptors is negative")
	}
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

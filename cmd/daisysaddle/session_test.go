package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/fleet"
	"daisysaddle/io/admin"
	"daisysaddle/io/entry"
	"daisysaddle/io/stand"
)

var update = flag.Bool("update", false, "write the golden files")

// session runs command lines and records their output.
type session struct {
	t        *testing.T
	record   bytes.Buffer
	replacer *strings.Replacer
}

// unstablePatterns are the parts of the output that differ from run to run, with their replacements.
var unstablePatterns = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`Time=\S+`), "Time=T"},
	{regexp.MustCompile(`Since=\S+`), "Since=T"},
	{regexp.MustCompile(`e1-[0-9a-f]{8}`), "e1-INCARNATION"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	// How long the planner waits for an acknowledgement, and so whether it reports the instance as held, depends on timing.
	{regexp.MustCompile(`(?m)^.*Kind=InstanceHeld.*\n`), ""},
	{regexp.MustCompile(`ZoneRevision=\d+`), "ZoneRevision=N"},
	{regexp.MustCompile(`(Kind=(?:InstanceChanged|SenderAdded|ZoneInForce|AllowanceGiven|AllowanceTaken).*) Revision=\d+`), "$1 Revision=N"},
	{regexp.MustCompile(`(?m)^.*Kind=ZoneInForce.*\n`), ""},
}

func (s *session) run(arguments ...string) {
	var out bytes.Buffer
	status := run(environment{s.t.Context(), &out, &out}, arguments)
	fmt.Fprintf(&s.record, "$ daisysaddle %s\n%s", strings.Join(arguments, " "), out.String())
	if status != 0 {
		fmt.Fprintf(&s.record, "status %d\n", status)
	}
}

func (s *session) compare(name string) {
	text := s.replacer.Replace(s.record.String())
	for _, u := range unstablePatterns {
		text = u.pattern.ReplaceAllString(text, u.text)
	}
	path := filepath.Join("testdata", name)
	if *update {
		must.NoError(s.t, os.WriteFile(path, []byte(text), 0o644))
	}
	golden, err := os.ReadFile(path)
	must.NoError(s.t, err)
	must.Eq(s.t, string(golden), text)
}

func writeFile(t *testing.T, dir, name, text string) {
	t.Helper()
	must.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644))
}

const sessionConfig = `[Deployment]
Name = d

[Zone z]
Region = r

[Service plans]
Deadline = 2s

[Pool plans]
Service = plans
Budget = 0

[Pool spare]
Spare = yes

[Instance i0]
Address = 127.0.0.1:7001
Zone = z
Rack = r1
Pool = plans

[Instance i1]
Address = 127.0.0.1:7002
Zone = z
Rack = r1
Pool = spare
`

// TestSession compares the output of an operator's whole session with its golden file.
func TestSession(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	platform := httptest.NewServer((&stand.Platform{}).Handler())
	defer platform.Close()
	address := platform.Listener.Addr().(*net.TCPAddr).AddrPort()
	e, err := entry.New(entry.Settings{
		Name: "e1", Deployment: "d", Zone: "z", Listen: netip.MustParseAddrPort("127.0.0.1:0"), PeerListen: netip.MustParseAddrPort("127.0.0.1:0"),
		Admin: netip.MustParseAddrPort("127.0.0.1:0"), Platform: address, Backend: "Http", Secret: "a secret of sixteen",
	}, zerolog.Nop())
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	s := &session{t: t, replacer: strings.NewReplacer(dir, "DIR", other, "OTHER")}
	entriesFlag, platformFlag := "--entries="+e.AdminAddress().String(), "--platform="+address.String()
	await := func(condition func(entry.Status) bool) {
		for ctx.Err() == nil {
			if statuses, _ := admin.Statuses(ctx, []netip.AddrPort{e.AdminAddress()}); len(statuses) == 1 && condition(statuses[0]) {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}

	writeFile(t, dir, "10-bad.ini", strings.Replace(sessionConfig, "Deadline = 2s", "Deadline = 2\nColour = red", 1))
	writeFile(t, dir, "20-more.ini", "[Instance i2]\nAddress = 127.0.0.1:7001\nZone = nowhere\nRack = r1\nPool = plans, spare\n[Leave l]\n[Thing x]\nKey = 1\n")
	s.run("check", dir)
	must.NoError(t, os.Remove(filepath.Join(dir, "10-bad.ini")))
	must.NoError(t, os.Remove(filepath.Join(dir, "20-more.ini")))
	writeFile(t, dir, "10-base.ini", sessionConfig)
	writeFile(t, dir, "20-override.ini", "[Service plans]\nDeadline = 3s\n")
	s.run("check", "--origins", dir)
	s.run("apply", dir, platformFlag)
	await(func(st entry.Status) bool { return st.Ready && st.Planner })
	s.run("fetch", other, platformFlag)
	writeFile(t, dir, "30-leave.ini", "[Leave first]\nInstances = i0\n")
	s.run("diff", dir, platformFlag)
	s.run("apply", dir, platformFlag)
	await(func(st entry.Status) bool { return st.ZoneRecord.Find("i0").State == fleet.Returned })
	writeFile(t, other, "30-leave.ini", "[Leave first]\nInstances = i1\n")
	s.run("apply", other, platformFlag)
	must.NoError(t, os.Remove(filepath.Join(other, "30-leave.ini")))
	writeFile(t, other, "40-team.ini", "[Team night]\nQuota = 20%\n")
	s.run("apply", other, platformFlag)
	await(func(st entry.Status) bool { return st.ConfigRevision == 3 })
	s.run("status", entriesFlag)
	s.run("pools", entriesFlag, platformFlag)
	s.run("instances", entriesFlag)
	s.run("explain", entriesFlag, "--instance=i0")
	s.run("timeline", entriesFlag)
	s.run("timeline", "--entries=127.0.0.1:1")
	s.compare("session.golden")
}

func TestFaultsCanBeSwitchedWhileRunning(t *testing.T) {
	p := &stand.Platform{}
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	var out bytes.Buffer
	status := run(environment{t.Context(), &out, &out}, []string{"standin", "faults", "--platform=" + server.Listener.Addr().String(), "--down", "--list-lag=3s"})
	must.Zero(t, status, must.Sprint(out.String()))
	must.Eq(t, stand.Faults{Down: true, ListLag: 3 * time.Second}, p.Faults())
	response, err := http.Get(server.URL + "/v1/key/x")
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
}

package main

import (
	"fmt"
	"net/netip"
	"net/url"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/sched"
	"daisysaddle/io/admin"
)

// nodes is the flag of the commands that query entries of the job service.
type nodes struct {
	Entries []netip.AddrPort `required:"" help:"Metrics addresses of the entries, separated by commas."`
}

var errNoReport = errors.New("no entry could ask the owner")

// reportOf returns the first answer of an entry to a query of the owner.
func reportOf[T any](env environment, c nodes, path string) (T, error) {
	answers, failures := admin.Reports[T](env.ctx, c.Entries, path)
	if len(answers) == 0 {
		printFailures(env, failures)
		var none T
		return none, errNoReport
	}
	return answers[0], nil
}

type accountsCommand struct{ nodes }

// Run prints one line for each client account.
func (c *accountsCommand) Run(env environment) error {
	accounts, err := reportOf[[]sched.AccountReport](env, c.nodes, "/accounts")
	for _, a := range accounts {
		fmt.Fprintf(env.out, "Account=%s Weight=%g Cap=%s Running=%s Share=%.3f Waiting=%d Refused=%d\n", a.Account, a.Weight, sizeText(a.Cap), sizeText(a.Running), a.Share, a.Waiting, a.Refused)
	}
	return err
}

// sizeText returns processors in thousandths of a core, memory in megabytes and accelerators, separated by slashes.
func sizeText(s sched.Size) string {
	return fmt.Sprintf("%d/%d/%d", s.Processors, s.MemoryMB, s.Accelerators)
}

type whyCommand struct {
	nodes
	Job string `required:"" help:"Id of the job."`
}

// Run prints a line on the job and one on each of its steps that is not done.
func (c *whyCommand) Run(env environment) error {
	lines, err := reportOf[[]string](env, c.nodes, "/why?job="+url.QueryEscape(c.Job))
	for _, l := range lines {
		fmt.Fprintln(env.out, l)
	}
	if err == nil && len(lines) == 0 {
		fmt.Fprintf(env.out, "Job=%s State=Unknown\n", c.Job)
	}
	return err
}

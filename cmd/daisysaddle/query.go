package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"daisysaddle/core/config"
	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/core/plan"
	"daisysaddle/io/admin"
	"daisysaddle/io/entry"
)

// entries is the flag of the commands that query entries.
type entries struct {
	Entries []netip.AddrPort `required:"" help:"Admin addresses of the entries, separated by commas."`
}

func printFailures(env environment, failures []admin.QueryFailure) {
	for _, f := range failures {
		fmt.Fprintf(env.out, "Missing=%s Reason=%q\n", f.Address, f.Reason)
	}
}

type statusCommand struct{ entries }

// Run prints one line for each entry and for each service on it.
func (c *statusCommand) Run(env environment) error {
	statuses, failures := admin.Statuses(env.ctx, c.Entries)
	for _, s := range statuses {
		fmt.Fprintf(env.out, "Entry=%s Zone=%s Ready=%t PlatformUp=%t Planner=%t ConfigRevision=%d ZoneRevision=%d Peers=%d\n",
			s.Entry, s.Zone, s.Ready, s.PlatformUp, s.Planner, s.ConfigRevision, s.ZoneRecord.Revision, len(s.Peers))
		for name, n := range s.Services {
			fmt.Fprintf(env.out, "Entry=%s Service=%s Done=%d NotRun=%d Unknown=%d Retries=%d\n", s.Entry, name, n.Done, n.NotRun, n.Unknown, n.Retries)
		}
	}
	printFailures(env, failures)
	return nil
}

type poolsCommand struct {
	entries
	platform
}

// Run prints one line for each pool.
func (c *poolsCommand) Run(env environment) error {
	ctx, cancel := context.WithTimeout(env.ctx, commandTimeout)
	defer cancel()
	parsed, err := acceptedConfig(ctx, c.platform)
	if err != nil {
		return err
	}
	zones, failures := admin.Zones(ctx, c.Entries)
	sizes, budgets := parsed.PoolSizes(), plan.Budgets(parsed)
	for _, p := range parsed.Pools {
		available, granted := 0, 0
		for _, z := range zones {
			available += z.Available()[p.Name]
			for _, a := range z.Allowances {
				if a.Pool == p.Name {
					granted += a.Granted
				}
			}
		}
		fmt.Fprintf(env.out, "Pool=%s Service=%s Spare=%t Size=%d Available=%d Budget=%d Allowances=%d\n", p.Name, p.Service, p.Spare, sizes[p.Name], available, budgets[p.Name], granted)
	}
	printFailures(env, failures)
	return nil
}

func acceptedConfig(ctx context.Context, p platform) (*config.Config, error) {
	accepted, _, err := admin.Fetch(ctx, p.client())
	if err != nil {
		return nil, err
	}
	parsed, problems := config.Parse(accepted.Files, accepted.Revision)
	return parsed, config.JoinProblems(problems)
}

type instancesCommand struct {
	entries
	Pool  string `help:"Only instances of this pool."`
	State string `help:"Only instances in this state."`
}

// Run prints one line for each instance.
func (c *instancesCommand) Run(env environment) error {
	zones, failures := admin.Zones(env.ctx, c.Entries)
	statuses, _ := admin.Statuses(env.ctx, c.Entries)
	for _, z := range zones {
		for _, i := range z.Instances {
			if c.Pool != "" && i.Pool != c.Pool || c.State != "" && string(i.State) != c.State {
				continue
			}
			fmt.Fprintf(env.out, "Instance=%s Zone=%s Pool=%s State=%s Since=%s%s\n", i.Name, z.Name, i.Pool, i.State, i.Since.Format(time.RFC3339), holdReason(statuses, i))
		}
	}
	printFailures(env, failures)
	return nil
}

// holdReason returns the rule that delays the planner's action on an instance and the reason, as key=value pairs, or an empty string.
func holdReason(statuses []entry.Status, i fleet.Instance) string {
	for _, s := range statuses {
		for _, h := range s.Held {
			if s.Planner && h.Instance == i.Name {
				return fmt.Sprintf(" Rule=%s Reason=%q", h.Rule, h.Reason)
			}
		}
	}
	return ""
}

type explainCommand struct {
	entries
	Instance string `help:"Instance to explain." xor:"what" required:""`
	Request  string `help:"Request id to explain." xor:"what" required:""`
}

// Run prints the rule that delays the planner's action on the instance, if any, and the events of the instance or request.
func (c *explainCommand) Run(env environment) error {
	statuses, _ := admin.Statuses(env.ctx, c.Entries)
	for _, s := range statuses {
		for _, h := range s.Held {
			if s.Planner && h.Instance == c.Instance {
				fmt.Fprintf(env.out, "Held=%s Rule=%s Reason=%q\n", h.Instance, h.Rule, h.Reason)
			}
		}
	}
	events, failures := admin.Timeline(env.ctx, c.Entries, event.Filter{Instance: c.Instance, Request: c.Request})
	for _, e := range events {
		fmt.Fprintln(env.out, e)
	}
	printFailures(env, failures)
	return nil
}

type timelineCommand struct {
	entries
	Instance string `help:"Only events of this instance."`
	Pool     string `help:"Only events of this pool."`
	Request  string `help:"Only events of this request id."`
	JSON     bool   `help:"Print one JSON object per line."`
}

// Run prints the events of all entries in causal order.
func (c *timelineCommand) Run(env environment) error {
	events, failures := admin.Timeline(env.ctx, c.Entries, event.Filter{Instance: c.Instance, Pool: c.Pool, Request: c.Request})
	encoder := json.NewEncoder(env.out)
	for _, e := range events {
		if !c.JSON {
			fmt.Fprintln(env.out, e)
			continue
		}
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	printFailures(env, failures)
	return nil
}

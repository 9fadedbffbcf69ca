package main

import (
	"fmt"
	"time"

	"daisysaddle/core/model"
	"daisysaddle/io/scale"
)

type measureCommand struct {
	Requests measureRequests `cmd:"" help:"Compare request policies on fake targets in virtual time."`
	Capacity measureCapacity `cmd:"" help:"Measure how costs grow with the size and extrapolate to the size designed for."`
	Jobs     measureJobs     `cmd:"" help:"Compare placement policies for jobs in virtual time."`
	Fleet    measureFleet    `cmd:"" help:"Compare planner policies on a maintenance wave in virtual time."`
}

type measureRequests struct {
	Seeds int `default:"3" help:"Number of seeds, from 1."`
}

// Run prints one line for each scenario and combination of policies, summed over the seeds.
func (c *measureRequests) Run(env environment) error {
	for _, scenario := range model.RequestScenarios() {
		for _, combination := range model.PolicyCombinations {
			if env.ctx.Err() != nil {
				return env.ctx.Err()
			}
			var total model.RequestResult
			for seed := range c.Seeds {
				r, err := model.RunRequests(scenario.With(combination, uint64(seed+1)))
				if err != nil {
					return err
				}
				total.Add(r)
			}
			fmt.Fprintf(env.out, "Scene=%s Policy=%s Offered=%d Goodput=%.3f OnTime=%d Refused=%d Late=%d Failed=%d Wasted=%d LoadFactor=%.2f OverSlots=%d P50=%s P99=%s\n",
				scenario.Name, combination.Name, total.Offered, total.Goodput(), total.OnTime, total.Refused, total.Late, total.Failed, total.Wasted,
				float64(total.Attempts)/float64(total.Offered), total.OverSlots, total.P50.Round(time.Millisecond), total.P99.Round(time.Millisecond))
		}
	}
	return nil
}

type measureFleet struct {
	Seeds int    `default:"3" help:"Number of seeds, from 1."`
	Fleet string `help:"Only this fleet."`
}

// Run prints one line for each fleet, policy and seed.
func (c *measureFleet) Run(env environment) error {
	for _, scenario := range model.FleetScenarios() {
		if c.Fleet != "" && c.Fleet != scenario.Name {
			continue
		}
		for _, policy := range model.FleetPolicies {
			for seed := range c.Seeds {
				if env.ctx.Err() != nil {
					return env.ctx.Err()
				}
				scenario.Policy, scenario.Seed = policy, uint64(seed+1)
				r, err := model.RunFleet(scenario)
				if err != nil {
					return err
				}
				fmt.Fprintf(env.out, "Fleet=%s Policy=%s Seed=%d RollOut=%s Bound=%s BoundWithoutMoves=%s Finished=%t Moves=%d BufferCost=%.1f Violations=%d Failures=%d StepTime=%s\n",
					scenario.Name, policy, scenario.Seed, r.RollOut, r.Bound, r.BoundWithoutMoves, r.Finished, r.Moves, r.BufferCost, r.Violations, r.Failures, r.StepTime.Round(time.Microsecond))
			}
		}
	}
	return nil
}

type measureCapacity struct {
	Core bool `help:"Only the costs that need no process."`
}

// Run prints one line for each measured cost: first those that need no running entries, then, without --core, the others.
func (c *measureCapacity) Run(env environment) error {
	fits, err := scale.MeasureCore()
	if err != nil {
		return err
	}
	for _, l := range fits {
		fmt.Fprintln(env.out, l)
	}
	if c.Core {
		return nil
	}
	return scale.MeasureEntries(env.ctx, func(l fmt.Stringer) { fmt.Fprintln(env.out, l) })
}

type measureJobs struct {
	Seeds int `default:"3" help:"Number of seeds, from 1."`
}

// Run prints one line for each scenario, policy and seed.
func (c *measureJobs) Run(env environment) error {
	for _, scenario := range model.JobScenarios() {
		for _, policy := range model.JobPolicies {
			for seed := range c.Seeds {
				if env.ctx.Err() != nil {
					return env.ctx.Err()
				}
				scenario.Policy, scenario.Seed = policy, uint64(seed+1)
				r, err := model.RunJobs(scenario)
				if err != nil {
					return err
				}
				fmt.Fprintf(env.out, "Scene=%s Policy=%s Seed=%d Jobs=%d Started=%d Wasted=%d WastedOnBad=%d Parked=%d Urgent=%d UrgentInTime=%d UrgentP99=%s Packing=%.3f OverSeconds=%.0f StepTime=%s\n",
					scenario.Name, policy, scenario.Seed, r.Jobs, r.Started, r.Wasted, r.WastedOnBad, r.Parked, r.Urgent, r.UrgentInTime, r.UrgentP99, r.Packing, r.OverSeconds, r.StepTime.Round(time.Microsecond))
			}
		}
	}
	return nil
}

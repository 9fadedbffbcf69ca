package main

import (
	"fmt"
	"time"

	"daisysaddle/core/model"
)

type measureCommand struct {
	Requests measureRequests `cmd:"" help:"Compare request policies on fake targets in virtual time."`
}

type measureRequests struct {
	Seeds int `default:"3" help:"Number of seeds, from 1."`
}

// Run prints one line for each scene and combination of policies, summed over the seeds.
func (c *measureRequests) Run(env environment) error {
	for _, scene := range model.Scenes() {
		for _, combination := range model.Combinations {
			var total model.Result
			for seed := range c.Seeds {
				r, err := model.Run(scene.With(combination, uint64(seed+1)))
				if err != nil {
					return err
				}
				total.Add(r)
			}
			fmt.Fprintf(env.out, "Scene=%s Policy=%s Offered=%d Goodput=%.3f OnTime=%d Refused=%d Late=%d Failed=%d Wasted=%d LoadFactor=%.2f OverSlots=%d P50=%s P99=%s\n",
				scene.Name, combination.Name, total.Offered, total.Goodput(), total.OnTime, total.Refused, total.Late, total.Failed, total.Wasted,
				float64(total.Attempts)/float64(total.Offered), total.OverSlots, total.P50.Round(time.Millisecond), total.P99.Round(time.Millisecond))
		}
	}
	return nil
}

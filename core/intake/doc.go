// Package intake decides which jobs of client accounts that compete for full pools are admitted, and when the callers of
// refused jobs return.
//
// A [Controller] predicts the end of a job from the backlog of its own account, drained at the account's weighted share
// of the pool. It has no clock and does no I/O; the present time is an argument.
package intake

// Package carry decides which entries send an owner's orders to workers.
//
// With hundreds of workers, sending starts and polls takes the whole processor or network link of one entry, so
// the owner delegates them to other entries, called carriers. Times are readings of the sending entry's
// own clock, which must include the time during which the system is suspended; capacities are numbers of workers.
package carry

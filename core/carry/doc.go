// Package carry decides which entries send an owner's orders to workers.
//
// With hundreds of workers, sending starts and polls takes the whole processor or network link of one entry, so
// the owner delegates them to other entries, called carriers. Times are monotonic clock readings of the entry
// named; capacities are numbers of workers.
package carry

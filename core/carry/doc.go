// Package carry decides which entries send an owner's orders to workers.
//
// It answers a load of hundreds of workers whose starts and looks fill the processor or the network link of one
// entry. Times are steady readings of the entry named; sizes are workers.
package carry

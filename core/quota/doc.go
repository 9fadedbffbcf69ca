// Package quota counts what client accounts have running and decides which starts their caps permit.
package quota

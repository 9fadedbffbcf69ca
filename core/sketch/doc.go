// Package sketch keeps quantile sketches of how long runs take compared with their estimates.
//
// A Set holds one sketch for each Kind of run, in bounded memory. Old values fade as new ones come.
package sketch
